#include "gate.hpp"
#include "relay.hpp"
#include "ticket_authority.hpp"

#include <gtest/gtest.h>

namespace cyclamenrun::faults
{
namespace
{

const std::string link_key = "0123456789abcdef0123456789abcdef";
const time_point start{std::chrono::hours(1)};

/** A gate with an upstream that the test controls. */
struct gate_fixture : testing::Test {
    gate_fixture()
    {
        settings.upstream = "vm-1";
        settings.incarnation = 5;
        settings.started_at = start;
        settings.link_key = link_key;
        rebuild_gate();
    }

    /** Makes a new gate with the present settings. */
    void rebuild_gate()
    {
        gate_hooks hooks;
        hooks.start = [this](const admitted_work& admitted) {
            started.push_back(admitted.work);
        };
        hooks.stop = [this](work_id work) { stopped.push_back(work); };
        hooks.wake = [](reader_id) {};
        hooks.state_changed = [] {};
        tested_gate = std::make_unique<gate>(settings, hooks);
        tested_gate->engine_ready(0, start);
    }

    static link::Dispatch generation(const std::string& id)
    {
        link::Dispatch dispatch;
        dispatch.set_request_id(id);
        dispatch.set_kind(link::WORK_KIND_GENERATION);
        dispatch.set_team("team");
        dispatch.set_service("service");
        dispatch.set_time_left_ms(60'000);
        dispatch.set_prompt_tokens(10);
        dispatch.set_max_output_tokens(100);
        dispatch.set_fingerprint(7);
        return dispatch;
    }

    link::Dispatch ticket_call(const std::string& id, const std::string& team)
    {
        auto dispatch = generation(id);
        dispatch.set_kind(link::WORK_KIND_CALL);
        dispatch.set_team(team);
        if (!ticket)
            ticket = ticket_authority(link_key).mint(
                {"vm-1", 5, "team", "service", 10'000});
        *dispatch.mutable_ticket() = *ticket;
        return dispatch;
    }

    gate_settings settings;
    std::optional<link::Ticket> ticket;
    std::vector<work_id> started;
    std::vector<work_id> stopped;
    std::unique_ptr<gate> tested_gate;
};

/**
 * Guards against running a dispatch twice. A duplicated frame delivers it again
 * with the same request id. The copy must not run, and its refusal must not
 * state not_run.
 */
TEST_F(gate_fixture, a_second_copy_of_a_dispatch_does_not_run)
{
    ASSERT_TRUE(tested_gate->submit(generation("r.1"), start));
    const auto copy = tested_gate->submit(generation("r.1"), start);
    ASSERT_FALSE(copy);
    EXPECT_EQ(copy.error().kind, refusal_kind::outcome_unknown);
    EXPECT_EQ(started.size(), 1U);
}

/**
 * Guards against an upstream that is overrun although it has asked for rest:
 * work that waits would start there, and new work would be sent.
 */
TEST_F(gate_fixture, an_upstream_that_rests_gets_no_work)
{
    settings.admission.max_running = 1;
    rebuild_gate();
    ASSERT_TRUE(tested_gate->submit(generation("r.1"), start));
    const auto waiting = tested_gate->submit(generation("r.2"), start);
    ASSERT_TRUE(waiting);
    upstream_notice notice;
    notice.rest = milliseconds(2500);
    tested_gate->record_notice(notice, start);
    const auto frames = tested_gate->pull(*waiting, 1000, start).frames;
    ASSERT_FALSE(frames.empty());
    EXPECT_TRUE(frames.back().has_refused());
    tested_gate->record_finish(started.at(0), "stop", start);
    const auto refused =
        tested_gate->submit(generation("r.3"), start + milliseconds(500));
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error(),
              not_run(refusal_reason::upstream_resting,
                      "the upstream has asked for rest", milliseconds(2000)));
    EXPECT_EQ(started.size(), 1U);
    EXPECT_TRUE(
        tested_gate->submit(generation("r.4"), start + milliseconds(2500)));
    EXPECT_EQ(started.size(), 2U);
}

/** Guards against a restarted upstream that is not used. */
TEST_F(gate_fixture, an_upstream_that_leaves_gets_no_work_until_it_restarts)
{
    upstream_notice notice;
    notice.leaving = true;
    tested_gate->record_notice(notice, start);
    EXPECT_TRUE(tested_gate->load(start).leaving());
    const auto refused = tested_gate->submit(generation("r.1"), start);
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().reason, refusal_reason::draining);
    tested_gate->engine_ready(0, start);
    EXPECT_FALSE(tested_gate->load(start).leaving());
    EXPECT_TRUE(tested_gate->submit(generation("r.2"), start));
}

/**
 * Guards against engine memory held by an abandoned generation. The caller
 * disconnects in mid-stream and does not resume. The generation runs for the
 * resume grace period, then the gate stops it.
 */
TEST_F(gate_fixture, work_without_a_reader_is_cancelled_after_the_grace_period)
{
    const auto reader = tested_gate->submit(generation("r.1"), start);
    ASSERT_TRUE(reader);
    tested_gate->detach(*reader, start);
    tested_gate->tick(start + settings.resume_grace - milliseconds(1));
    EXPECT_TRUE(stopped.empty());
    tested_gate->tick(start + settings.resume_grace);
    EXPECT_EQ(stopped, started);
}

/**
 * Guards against a ticket that is used up by a call that did not run. The call
 * is refused as not_run, since no upstream runs it, and the caller sends it
 * again with the same ticket. The gate must not treat that as a second use.
 */
TEST_F(gate_fixture, a_ticket_stays_valid_if_its_call_did_not_run)
{
    settings.admission.max_running = 1;
    ASSERT_TRUE(tested_gate->submit(ticket_call("r.1", "team"), start));
    tested_gate->run_failed(started.at(0), not_run(refusal_reason::no_upstream),
                            start);
    ASSERT_TRUE(tested_gate->submit(ticket_call("r.2", "team"), start));
    EXPECT_EQ(started.size(), 2U);
}

TEST_F(gate_fixture, invalid_or_expired_tickets_run_nothing)
{
    const auto other_team =
        tested_gate->submit(ticket_call("r.1", "other"), start);
    ASSERT_FALSE(other_team);
    EXPECT_EQ(other_team.error().kind, refusal_kind::not_run);

    auto forged = ticket_call("r.2", "team");
    forged.mutable_ticket()->set_expiry_ms(99'999'999);
    const auto refused = tested_gate->submit(forged, start);
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().reason, refusal_reason::ticket_invalid);

    auto of_old_incarnation = ticket_call("r.3", "team");
    *of_old_incarnation.mutable_ticket() =
        ticket_authority(link_key).mint({"vm-1", 4, "team", "service", 10'000});
    const auto unknown = tested_gate->submit(of_old_incarnation, start);
    ASSERT_FALSE(unknown);
    EXPECT_EQ(unknown.error().kind, refusal_kind::outcome_unknown);

    const auto late = tested_gate->submit(ticket_call("r.4", "team"),
                                          start + std::chrono::seconds(11));
    ASSERT_FALSE(late);
    EXPECT_EQ(late.error().reason, refusal_reason::ticket_expired);
    EXPECT_TRUE(started.empty());
}

/**
 * Guards against resuming another team's generation or probing for one. A
 * resume names the wrong team, a guessed secret, or the index of a token that
 * does not exist yet. Each gets a typed refusal, and the first two get the same
 * one as for a generation that does not exist.
 */
TEST_F(gate_fixture, an_invalid_resume_is_refused)
{
    const auto reader = tested_gate->submit(generation("r.1"), start);
    tested_gate->record_token(started.at(0), "token", start);
    const auto frames = tested_gate->pull(*reader, 1000, start).frames;
    link::Resume resume;
    resume.set_request_id("x.0");
    *resume.mutable_generation() = frames.at(0).accepted().generation();
    const auto refused_as = [&](const char* team, std::uint64_t next,
                                std::uint64_t secret_offset) {
        auto tried = resume;
        tried.set_team(team);
        tried.set_next_index(next);
        auto& id = *tried.mutable_generation();
        id.set_secret(id.secret() + secret_offset);
        const auto answer = tested_gate->resume(tried, start);
        return answer ? refusal_reason{} : answer.error().reason;
    };
    EXPECT_EQ(refused_as("other", 1, 0), refusal_reason::generation_unknown);
    EXPECT_EQ(refused_as("team", 1, 1), refusal_reason::generation_unknown);
    EXPECT_EQ(refused_as("team", 9, 0), refusal_reason::resume_out_of_range);
    EXPECT_EQ(refused_as("team", 1, 0), refusal_reason{});
}

/**
 * Guards against a request that crashes every engine it runs on while its
 * caller keeps resending it. After the second loss it is refused as poison.
 * Another request that was running at the first loss is cleared once it
 * completes.
 */
TEST_F(gate_fixture, a_request_that_crashes_two_engines_is_refused)
{
    auto unrelated = generation("i.1");
    unrelated.set_fingerprint(8);
    ASSERT_TRUE(tested_gate->submit(generation("p.1"), start));
    ASSERT_TRUE(tested_gate->submit(unrelated, start));
    tested_gate->engine_lost(start);
    tested_gate->engine_ready(0, start);

    unrelated.set_request_id("i.2");
    ASSERT_TRUE(tested_gate->submit(unrelated, start));
    tested_gate->record_finish(started.back(), "stop", start);
    ASSERT_TRUE(tested_gate->submit(generation("p.2"), start));
    tested_gate->engine_lost(start);
    tested_gate->engine_ready(0, start);

    const auto third = tested_gate->submit(generation("p.3"), start);
    ASSERT_FALSE(third);
    EXPECT_EQ(third.error().reason, refusal_reason::poison);
    unrelated.set_request_id("i.3");
    EXPECT_TRUE(tested_gate->submit(unrelated, start));
}

/**
 * Guards against splicing two generations. A link breaks in mid-stream, and the
 * stream that resumes the answer delivers another generation. The caller has
 * tokens of the first one already, so it must get a typed failure.
 */
TEST(relay_guards, tokens_of_another_generation_are_never_spliced_in)
{
    relay_request request;
    request.id = "r";
    request.deadline = start + std::chrono::minutes(1);
    relay_hooks hooks;
    hooks.choose = [](const auto&, const auto&, bool, time_point) {
        return outcome<route_target>(route_target{"vm-1", 5});
    };
    hooks.spend_retry = [](const auto&, time_point) { return outcome<void>(); };
    hooks.admit = [](const auto&, auto&, time_point) {
        return poison_admission::allowed;
    };
    hooks.agent_lost = [](auto, const auto&, time_point) {};
    hooks.engine_lost = [](const auto&, time_point) {};
    relay tested_relay(request, {}, hooks);
    tested_relay.start(start);

    link::AgentFrame accepted;
    accepted.set_request_id("r.1");
    accepted.mutable_accepted()->mutable_generation()->set_sequence(1);
    tested_relay.on_frame(1, accepted, start);
    link::AgentFrame tokens;
    tokens.set_request_id("r.1");
    tokens.mutable_tokens()->add_text("token");
    tested_relay.on_frame(1, tokens, start);
    tested_relay.on_stream_lost(1, true, start);

    // The relay resumes once more on a third stream, then fails the request.
    accepted.mutable_accepted()->mutable_generation()->set_sequence(2);
    const auto again = tested_relay.on_frame(2, accepted, start);
    EXPECT_TRUE(std::holds_alternative<open_stream>(again.back()));
    EXPECT_TRUE(tested_relay.on_frame(2, tokens, start).empty());
    const auto actions = tested_relay.on_frame(3, accepted, start);
    const auto* refused = std::get_if<write_refusal>(&actions.back());
    ASSERT_NE(refused, nullptr);
    EXPECT_EQ(refused->why.kind, refusal_kind::failed);
    EXPECT_TRUE(tested_relay.done());
}

} // namespace
} // namespace cyclamenrun::faults

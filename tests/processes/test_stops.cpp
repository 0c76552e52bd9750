#include "../standins/token_text.hpp"
#include "deployment.hpp"

#include <future>
#include <gtest/gtest.h>
#include <memory>

namespace cyclamenrun
{
namespace
{

using testing_support::caller_stream;
using testing_support::deployment;
using testing_support::stream_state;
using testing_support::wait_until;

constexpr auto prompt = "pairing guide, code 0917";
constexpr std::uint64_t answer_tokens = 200;
constexpr std::size_t seen_tokens = 20; ///< read before a stop

class stops : public ::testing::Test
{
protected:
    void start(const char* token_ms = "10")
    {
        system.add_model("redactor-1", {"--step-ms", token_ms});
        system.add_model("redactor-2", {"--step-ms", token_ms});
        system.add_runner("registro-1", {"--delay-ms", "500"});
        system.add_entry("entry-1");
        system.add_entry("entry-2");
        system.wait_until_ready();
    }

    /** Starts a generation and reads its first tokens. */
    caller_stream begin()
    {
        auto stream = system.generate(system.entry(0), prompt, answer_tokens);
        stream.read_tokens(seen_tokens);
        return stream;
    }

    /** Expects `before` and `rest` to be the complete answer together. */
    static void expect_continued(const caller_stream& before,
                                 const caller_stream& rest)
    {
        ASSERT_EQ(rest.state(), stream_state::complete)
            << rest.status() << ' ' << rest.refusal().reason;
        EXPECT_EQ(before.text() + rest.text(),
                  stand_in::answer_text(prompt, answer_tokens));
        EXPECT_EQ(rest.positions().front().index, before.positions().size());
        EXPECT_EQ(rest.positions().front().generation,
                  before.positions().front().generation);
    }

    void expect_complete(caller_stream& stream)
    {
        stream.read_all();
        EXPECT_EQ(stream.state(), stream_state::complete)
            << stream.refusal().reason;
        EXPECT_EQ(stream.text(), stand_in::answer_text(prompt, answer_tokens));
    }

    deployment system;
};

// An entry is stopped while it serves a stream and a call. Both must complete
// before the entry exits by itself.
TEST_F(stops, stopping_an_entry_cuts_no_request)
{
    start();
    auto stream = begin();
    auto call = std::async(std::launch::async,
                           [&] { return system.call(system.entry(0), ""); });
    system.wait_for_event("run");
    system.entry(0).process->signal(SIGTERM);
    EXPECT_TRUE(wait_until([&] {
        return system.entry(0).process->output().find("drain_started") !=
               std::string::npos;
    }));
    expect_complete(stream);
    EXPECT_EQ(call.get()->head.status, 200);
    EXPECT_EQ(system.entry(0).process->wait(), 0)
        << system.entry(0).process->output();
}

// An agent is stopped while its engine runs a generation. The stream must
// complete, new requests go to the other upstream, and the agent exits by
// itself.
TEST_F(stops, stopping_an_agent_cuts_no_stream)
{
    start();
    auto stream = begin();
    auto& stopped = system.wait_for_event("first_token");
    stopped.agent->signal(SIGTERM);
    EXPECT_TRUE(wait_until([&] {
        return system.state_at(system.entry(0), stopped.name) != "live";
    }));
    for (int count = 0; count < 5; ++count) {
        auto next = system.generate(system.entry(1), prompt, answer_tokens);
        expect_complete(next);
    }
    EXPECT_EQ(stopped.back_end->history("start").size(), 1);
    expect_complete(stream);
    EXPECT_EQ(stopped.agent->wait(), 0) << stopped.agent->output();
}

TEST_F(stops, stopping_an_agent_lets_a_call_complete)
{
    start();
    const auto ticket = system.request_ticket(system.entry(0));
    auto call = std::async(std::launch::async, [&] {
        return system.call(system.entry(0), ticket);
    });
    auto& stopped = system.wait_for_event("run");
    stopped.agent->signal(SIGTERM);
    EXPECT_EQ(call.get()->head.status, 200);
    EXPECT_EQ(stopped.agent->wait(), 0) << stopped.agent->output();
    EXPECT_EQ(system.count_events("run"), 1);
}

// An operator drains an upstream. Within 3 s all entries must stop sending it
// new requests, and its running generation must complete.
TEST_F(stops, a_drained_upstream_gets_no_new_work)
{
    start();
    auto stream = begin();
    auto& drained = system.wait_for_event("first_token");
    ASSERT_EQ(system.run_ctl({"drain", drained.name}), 0);
    const auto limit = steady_now() + milliseconds(3000);
    EXPECT_TRUE(wait_until([&] {
        return system.state_at(system.entry(0), drained.name) != "live" &&
               system.state_at(system.entry(1), drained.name) != "live";
    }));
    EXPECT_LT(steady_now(), limit);
    for (const std::size_t entry : {0, 1, 0, 1}) {
        auto next = system.generate(system.entry(entry), prompt, answer_tokens);
        expect_complete(next);
    }
    EXPECT_EQ(drained.back_end->history("start").size(), 1);
    expect_complete(stream);
}

// The platform's list marks the VM of an upstream as leaving. Within 3 s it
// must get no new requests, and its running generation must complete.
TEST_F(stops, an_upstream_listed_as_leaving_gets_no_new_work)
{
    start();
    auto stream = begin();
    auto& leaving = system.wait_for_event("first_token");
    system.list_vm(leaving.name, leaving.agent_link->address(), leaving.service,
                   "leaving");
    const auto limit = steady_now() + milliseconds(3000);
    EXPECT_TRUE(wait_until([&] {
        return system.state_at(system.entry(0), leaving.name) != "live";
    }));
    EXPECT_LT(steady_now(), limit);
    for (int count = 0; count < 4; ++count) {
        auto next = system.generate(system.entry(0), prompt, answer_tokens);
        expect_complete(next);
    }
    EXPECT_EQ(leaving.back_end->history("start").size(), 1);
    expect_complete(stream);
}

// An entry is killed during a stream. Its caller must be able to resume through
// the other entry at the next token, without a second run of the generation.
TEST_F(stops, a_stream_resumes_through_another_entry)
{
    start();
    auto stream = begin();
    system.entry(0).process->signal(SIGKILL);
    stream.read_all();
    EXPECT_EQ(stream.state(), stream_state::lost);
    auto rest = system.resume(system.entry(1), stream.last_event_id());
    rest.read_all();
    expect_continued(stream, rest);
    EXPECT_EQ(system.count_events("start"), 1);
}

// An entry freezes, and the caller disconnects and resumes through another one.
// The frozen entry then continues and must not disturb the resumed stream.
TEST_F(stops, a_frozen_entry_that_continues_does_not_disturb_a_resume)
{
    start();
    auto stream = begin();
    system.entry(0).process->signal(SIGSTOP);
    stream.disconnect();
    auto rest = system.resume(system.entry(1), stream.last_event_id());
    rest.read_tokens(seen_tokens);
    system.entry(0).process->signal(SIGCONT);
    rest.read_all();
    expect_continued(stream, rest);
    EXPECT_EQ(system.count_events("start"), 1);
}

// The caller's connection breaks before it has received the end, and the
// generation then completes. The rest must stay available for a resume.
TEST_F(stops, a_stream_resumes_after_its_generation_has_completed)
{
    start("2");
    auto stream = begin();
    stream.disconnect();
    system.wait_for_event("end");
    auto rest = system.resume(system.entry(1), stream.last_event_id());
    rest.read_all();
    expect_continued(stream, rest);
}

TEST_F(stops, a_forged_or_out_of_range_position_is_refused)
{
    start();
    auto stream = begin();
    auto position = stream.positions().back();
    position.generation.secret ^= 1;
    auto forged = system.resume(system.entry(1), to_string(position));
    EXPECT_EQ(forged.state(), stream_state::refused);
    EXPECT_EQ(forged.refusal().reason, "generation_unknown");
    auto ahead = stream.positions().back();
    ahead.index += 100000;
    auto early = system.resume(system.entry(1), to_string(ahead));
    EXPECT_EQ(early.state(), stream_state::refused);
    EXPECT_EQ(early.refusal().reason, "resume_out_of_range");
    expect_complete(stream);
}

// A caller that disconnects and does not resume within the grace must not keep
// an engine busy.
TEST_F(stops, an_abandoned_generation_is_cancelled_after_the_grace)
{
    start("100");
    auto stream = begin();
    stream.disconnect();
    auto& upstream = system.wait_for_event("cancel");
    EXPECT_TRUE(upstream.back_end->history("end").empty());
}

// The platform is killed and does not return. Running and new requests must be
// served. The test prints the exit status of an operator's change and does not
// check it.
TEST_F(stops, requests_are_served_without_the_platform)
{
    start();
    auto stream = begin();
    system.platform().process().signal(SIGKILL);
    expect_complete(stream);
    auto next = system.generate(system.entry(1), prompt, answer_tokens);
    expect_complete(next);
    EXPECT_EQ(
        system.call(system.entry(0), system.request_ticket(system.entry(1)))
            ->head.status,
        200);
    std::cerr << "status "
              << system.run_ctl({"--timeout", "3", "delete", "team", "team-a"});
    auto last = system.generate(system.entry(0), prompt, answer_tokens);
    expect_complete(last);
}

// A frozen platform never answers the reads of its log and list. Requests must
// be served nevertheless, and a stopping entry must not wait for the platform.
TEST_F(stops, a_frozen_platform_delays_no_request_and_no_stop)
{
    start();
    system.platform().process().signal(SIGSTOP);
    auto stream = begin();
    system.entry(0).process->signal(SIGTERM);
    expect_complete(stream);
    const auto limit = steady_now() + milliseconds(3000);
    EXPECT_EQ(system.entry(0).process->wait(), 0)
        << system.entry(0).process->output();
    EXPECT_LT(steady_now(), limit);
}

// A new entry that has not read a configuration must refuse requests as not
// run, so that callers can safely retry them on another entry.
TEST_F(stops, an_entry_without_a_configuration_refuses)
{
    start();
    system.platform().set_fault(R"({"log_out":true})");
    const auto& fresh = system.add_entry("entry-3");
    EXPECT_EQ(testing_support::request_answer(fresh.address, "GET", "/readyz")
                  .head.status,
              503);
    auto refused = system.generate(fresh, prompt, answer_tokens);
    EXPECT_EQ(refused.state(), stream_state::refused);
    EXPECT_EQ(refused.status(), 503);
    EXPECT_EQ(refused.refusal().kind, "not_run");
    EXPECT_EQ(refused.refusal().reason, "not_ready");
}

} // namespace
} // namespace cyclamenrun

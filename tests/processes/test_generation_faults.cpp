#include "../standins/token_text.hpp"
#include "deployment.hpp"

#include <array>
#include <gtest/gtest.h>
#include <memory>

namespace cyclamenrun
{
namespace
{

using testing_support::caller_stream;
using testing_support::deployment;
using testing_support::relay_direction;
using testing_support::stream_state;
using testing_support::upstream_processes;
using testing_support::wait_until;

constexpr auto prompt = "removal dossier, rail shed 4";
constexpr std::uint64_t answer_tokens = 300;
constexpr std::size_t seen_tokens = 40; ///< read before the fault
/**
 * Limit for the end of a stream whose engine is frozen: two polls of a busy
 * engine by its agent, and a margin.
 */
constexpr milliseconds engine_loss_limit(5000);

/** Faults of the upstream that runs the generation. */
enum class fault : std::uint8_t {
    kill_engine,
    freeze_engine,
    kill_agent,
    freeze_agent,
    cut_agent_link,
    stall_to_agent,
    stall_to_entry,
    cut_engine_link,
    stall_to_engine,
    stall_from_engine,
};

constexpr std::array<const char*, 10> fault_names{
    "kill_engine",     "freeze_engine",    "kill_agent",     "freeze_agent",
    "cut_agent_link",  "stall_to_agent",   "stall_to_entry", "cut_engine_link",
    "stall_to_engine", "stall_from_engine"};

void inject(fault kind, upstream_processes& upstream)
{
    switch (kind) {
    case fault::kill_engine:
        return upstream.back_end->process().signal(SIGKILL);
    case fault::freeze_engine:
        return upstream.back_end->process().signal(SIGSTOP);
    case fault::kill_agent:
        return upstream.agent->signal(SIGKILL);
    case fault::freeze_agent:
        return upstream.agent->signal(SIGSTOP);
    case fault::cut_agent_link:
        return upstream.agent_link->cut();
    case fault::stall_to_agent:
        return upstream.agent_link->stall(relay_direction::to_target);
    case fault::stall_to_entry:
        return upstream.agent_link->stall(relay_direction::to_client);
    case fault::cut_engine_link:
        return upstream.back_end_link->cut();
    case fault::stall_to_engine:
        return upstream.back_end_link->stall(relay_direction::to_target);
    case fault::stall_from_engine:
        return upstream.back_end_link->stall(relay_direction::to_client);
    }
}

void undo(fault kind, upstream_processes& upstream)
{
    if (kind == fault::freeze_engine)
        upstream.back_end->process().signal(SIGCONT);
    if (kind == fault::freeze_agent)
        upstream.agent->signal(SIGCONT);
    upstream.agent_link->heal();
    upstream.back_end_link->heal();
}

/** Expects each token once, in order, and all of one generation. */
void expect_in_order(const caller_stream& stream, std::uint64_t first = 0)
{
    const auto& positions = stream.positions();
    for (std::size_t at = 0; at < positions.size(); ++at) {
        ASSERT_EQ(positions[at].index, first + at);
        ASSERT_EQ(positions[at].generation, positions[0].generation);
    }
    EXPECT_EQ(stream.text(),
              stand_in::answer_text(prompt, first + positions.size())
                  .substr(stand_in::answer_text(prompt, first).size()));
}

void expect_complete(const caller_stream& stream)
{
    EXPECT_EQ(stream.state(), stream_state::complete)
        << stream.status() << ' ' << stream.refusal().kind << ' '
        << stream.refusal().reason;
    EXPECT_EQ(stream.positions().size(), answer_tokens);
    EXPECT_EQ(stream.finish_reason(), "stop");
    expect_in_order(stream);
}

class generation_faults : public ::testing::TestWithParam<fault>
{
protected:
    /** Starts two upstreams with a token time of `step_ms`. */
    void start(const char* step_ms)
    {
        system.add_model("redactor-1", {"--step-ms", step_ms});
        system.add_model("redactor-2", {"--step-ms", step_ms});
        system.add_entry("entry-1");
        system.wait_until_ready();
    }

    deployment system;
};

// The upstream that runs a request fails before its first token. The caller has
// received nothing, so the entry must retry the request on the other upstream
// and the caller must get a complete answer without an error.
TEST_P(generation_faults, before_the_first_token_are_hidden_from_the_caller)
{
    start("5");
    for (const std::size_t at : {0, 1})
        system.upstream(at).back_end->set_fault(R"({"stall_ms":60000})");
    std::unique_ptr<caller_stream> stream;
    std::thread caller([&] {
        stream = std::make_unique<caller_stream>(
            system.generate(system.entry(0), prompt, answer_tokens));
        stream->read_all();
    });
    auto& faulted = system.wait_for_event("start");
    auto& other = system.upstream(&faulted == &system.upstream(0) ? 1 : 0);
    other.back_end->set_fault(R"({"stall_ms":0})");
    inject(GetParam(), faulted);
    caller.join();
    expect_complete(*stream);
    EXPECT_EQ(other.back_end->history("end").size(), 1);
    undo(GetParam(), faulted);
}

// The upstream of a stream fails permanently after some tokens. Another
// upstream must not continue the stream, since it would generate a different
// text. The tokens received stay valid, and the refusal says that the
// generation failed.
TEST_P(generation_faults, permanent_mid_stream_end_the_stream_with_failed)
{
    start("20");
    auto stream = system.generate(system.entry(0), prompt, answer_tokens);
    stream.read_tokens(seen_tokens);
    auto& faulted = system.wait_for_event("first_token");
    auto& other = system.upstream(&faulted == &system.upstream(0) ? 1 : 0);
    inject(GetParam(), faulted);
    const auto limit = steady_now() + engine_loss_limit;
    stream.read_all();
    if (GetParam() == fault::freeze_engine) {
        EXPECT_LT(steady_now(), limit);
    }
    if (GetParam() == fault::stall_to_engine) {
        // Tokens travel in the other direction, which is not stalled.
        expect_complete(stream);
    } else {
        EXPECT_EQ(stream.state(), stream_state::refused);
        EXPECT_EQ(stream.refusal().kind, "failed");
        EXPECT_GE(stream.positions().size(), seen_tokens);
        expect_in_order(stream);
    }
    EXPECT_TRUE(other.back_end->history("start").empty());
    undo(GetParam(), faulted);
}

INSTANTIATE_TEST_SUITE_P(
    each, generation_faults,
    ::testing::Values(fault::kill_engine, fault::freeze_engine,
                      fault::kill_agent, fault::freeze_agent,
                      fault::cut_agent_link, fault::stall_to_agent,
                      fault::stall_to_entry, fault::cut_engine_link,
                      fault::stall_to_engine, fault::stall_from_engine),
    [](const auto& tested) {
        return fault_names.at(static_cast<std::size_t>(tested.param));
    });

class transient_faults : public generation_faults
{
protected:
    /** True once the entry has closed its link to an agent. */
    bool link_closed()
    {
        return system.entry(0).process->output().find("link_closed") !=
               std::string::npos;
    }
};

// A link between failure domains is cut or stalls in mid-stream, or the agent
// is frozen, until the entry closes the connection. After the fault the stream
// must resume with the next token.
TEST_P(transient_faults, mid_stream_lose_no_token)
{
    start("20");
    auto stream = system.generate(system.entry(0), prompt, answer_tokens);
    stream.read_tokens(seen_tokens);
    auto& faulted = system.wait_for_event("first_token");
    inject(GetParam(), faulted);
    EXPECT_TRUE(wait_until([this] { return link_closed(); }));
    undo(GetParam(), faulted);
    stream.read_all();
    expect_complete(stream);
    EXPECT_EQ(system.count_events("start"), 1);
}

// The generation is complete, but the link fails before the caller has received
// the end. The caller must still get it, from the same run.
TEST_P(transient_faults, after_the_last_token_lose_no_token)
{
    start("5");
    auto stream = system.generate(system.entry(0), prompt, answer_tokens);
    stream.read_tokens(seen_tokens);
    auto& faulted = system.wait_for_event("first_token");
    inject(GetParam(), faulted);
    if (GetParam() != fault::freeze_agent)
        faulted.back_end->wait_for_history("end", 1);
    EXPECT_TRUE(wait_until([this] { return link_closed(); }));
    undo(GetParam(), faulted);
    stream.read_all();
    expect_complete(stream);
    EXPECT_EQ(system.count_events("start"), 1);
}

INSTANTIATE_TEST_SUITE_P(
    each, transient_faults,
    ::testing::Values(fault::freeze_agent, fault::cut_agent_link,
                      fault::stall_to_agent, fault::stall_to_entry),
    [](const auto& tested) {
        return fault_names.at(static_cast<std::size_t>(tested.param));
    });

} // namespace
} // namespace cyclamenrun

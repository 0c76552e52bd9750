#include "deployment.hpp"

#include <array>
#include <future>
#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

using testing_support::deployment;
using testing_support::read_refusal;
using testing_support::relay_direction;
using testing_support::upstream_processes;
using testing_support::wait_until;

/** Faults during a call that a runner has begun to run. */
enum class fault : std::uint8_t {
    kill_runner,
    lose_answer,
    kill_agent,
    freeze_agent,
    cut_agent_link,
    stall_to_agent,
    stall_to_entry,
    cut_runner_link,
    kill_entry,
};

constexpr std::array<const char*, 9> fault_names{
    "kill_runner",    "lose_answer",     "kill_agent",
    "freeze_agent",   "cut_agent_link",  "stall_to_agent",
    "stall_to_entry", "cut_runner_link", "kill_entry"};

/** True if the fault loses the answer; otherwise a retry still gets it. */
bool loses_answer(fault kind)
{
    return kind == fault::kill_runner || kind == fault::lose_answer ||
           kind == fault::kill_agent || kind == fault::cut_runner_link;
}

class call_faults : public ::testing::TestWithParam<fault>
{
protected:
    call_faults()
    {
        system.add_runner("registro-1", {"--delay-ms", "400"});
        system.add_runner("registro-2", {"--delay-ms", "400"});
        system.add_entry("entry-1");
        system.add_entry("entry-2");
        system.wait_until_ready();
    }

    void inject(upstream_processes& upstream)
    {
        switch (GetParam()) {
        case fault::kill_runner:
            return upstream.back_end->process().signal(SIGKILL);
        case fault::lose_answer:
            return; // the test sets it before the call
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
        case fault::cut_runner_link:
            return upstream.back_end_link->cut();
        case fault::kill_entry:
            return system.entry(0).process->signal(SIGKILL);
        }
    }

    /** Ends a transient fault once the entry has closed its link. */
    void undo(upstream_processes& upstream)
    {
        if (loses_answer(GetParam()) || GetParam() == fault::kill_entry)
            return;
        EXPECT_TRUE(wait_until([this] {
            return system.entry(0).process->output().find("link_closed") !=
                   std::string::npos;
        }));
        upstream.agent->signal(SIGCONT);
        upstream.agent_link->heal();
    }

    /** Counts the runs on both runners; a killed runner counts as one run. */
    std::size_t runs() const
    {
        std::size_t count = killed_upstream ? 1 : 0;
        for (const std::size_t at : {0, 1}) {
            const auto& upstream = system.upstream(at);
            if (&upstream != killed_upstream)
                count += upstream.back_end->history("run").size();
        }
        return count;
    }

    mutable deployment system;
    const upstream_processes* killed_upstream = nullptr;
};

// Guards against a call that runs twice when its caller retries it. A fault
// occurs while the runner runs a call with a ticket, or its answer is lost, and
// the caller at once sends the call again through the other entry. The call
// runs once, both answers agree, and neither says that it was not run.
TEST_P(call_faults, a_call_with_a_ticket_runs_once_when_it_is_resent)
{
    const auto ticket = system.request_ticket(system.entry(0));
    ASSERT_FALSE(ticket.empty());
    if (GetParam() == fault::lose_answer)
        for (const std::size_t at : {0, 1})
            system.upstream(at).back_end->set_fault(R"({"lose_answers":1})");
    auto first = std::async(std::launch::async, [&] {
        return system.call(system.entry(0), ticket);
    });
    auto& faulted = system.wait_for_event("run");
    if (GetParam() == fault::kill_runner)
        killed_upstream = &faulted;
    inject(faulted);
    auto second = std::async(std::launch::async, [&] {
        return system.call(system.entry(1), ticket);
    });
    undo(faulted);
    const auto again = second.get();
    const auto original = first.get();

    ASSERT_TRUE(again);
    if (loses_answer(GetParam())) {
        const auto reported = read_refusal(again->body);
        ASSERT_TRUE(reported) << again->body;
        EXPECT_EQ(reported->kind, "outcome_unknown");
    } else {
        EXPECT_EQ(again->head.status, 200) << again->body;
    }
    ASSERT_EQ(original.has_value(), GetParam() != fault::kill_entry);
    if (original) {
        EXPECT_EQ(original->head.status, again->head.status) << original->body;
    }
    EXPECT_EQ(runs(), 1);
}

// The same faults without a ticket: the system must not retry the call, and the
// caller gets either the answer or outcome_unknown.
TEST_P(call_faults, a_call_without_a_ticket_is_sent_once)
{
    if (GetParam() == fault::lose_answer)
        for (const std::size_t at : {0, 1})
            system.upstream(at).back_end->set_fault(R"({"lose_answers":1})");
    auto first = std::async(std::launch::async,
                            [&] { return system.call(system.entry(0), ""); });
    auto& faulted = system.wait_for_event("run");
    if (GetParam() == fault::kill_runner)
        killed_upstream = &faulted;
    inject(faulted);
    undo(faulted);
    const auto answer = first.get();
    ASSERT_EQ(answer.has_value(), GetParam() != fault::kill_entry);
    if (answer && loses_answer(GetParam())) {
        EXPECT_EQ(read_refusal(answer->body)->kind, "outcome_unknown");
    } else if (answer) {
        EXPECT_EQ(answer->head.status, 200) << answer->body;
    }
    EXPECT_EQ(runs(), 1);
}

INSTANTIATE_TEST_SUITE_P(
    each, call_faults,
    ::testing::Values(fault::kill_runner, fault::lose_answer, fault::kill_agent,
                      fault::freeze_agent, fault::cut_agent_link,
                      fault::stall_to_agent, fault::stall_to_entry,
                      fault::cut_runner_link, fault::kill_entry),
    [](const auto& tested) {
        return fault_names.at(static_cast<std::size_t>(tested.param));
    });

class call_races : public ::testing::Test
{
protected:
    call_races()
    {
        system.add_runner("registro-1", {"--delay-ms", "100"});
        system.add_entry("entry-1");
        system.add_entry("entry-2");
        system.wait_until_ready();
    }

    deployment system;
};

// Guards against two runs of a call that its caller sends through two entries
// at the same moment.
TEST_F(call_races, a_ticket_used_twice_at_once_runs_once)
{
    for (std::size_t round = 1; round <= 10; ++round) {
        const auto ticket = system.request_ticket(system.entry(0));
        auto other = std::async(std::launch::async, [&] {
            return system.call(system.entry(1), ticket);
        });
        const auto one = system.call(system.entry(0), ticket);
        const auto two = other.get();
        ASSERT_TRUE(one && two);
        EXPECT_EQ(one->head.status, 200) << one->body;
        EXPECT_EQ(one->body, two->body);
        EXPECT_EQ(system.count_events("run"), round);
    }
}

// Guards against a false "not run" refusal. A dispatch is delayed on its link
// past the call's deadline, and arrives and runs after the caller received the
// refusal. At that time the outcome is unknown, so the refusal must say so.
TEST_F(call_races, a_call_that_may_still_arrive_is_not_reported_as_not_run)
{
    auto& upstream = system.upstream(0);
    upstream.agent_link->stall(relay_direction::to_target);
    const auto answer = system.call(system.entry(0), "", milliseconds(1000));
    ASSERT_TRUE(answer);
    const auto reported = read_refusal(answer->body);
    ASSERT_TRUE(reported) << answer->body;
    upstream.agent_link->heal();
    // The link keeps the order: once this call ran, the late one has arrived.
    const auto next = system.call(system.entry(0), "");
    ASSERT_TRUE(next);
    EXPECT_EQ(next->head.status, 200) << next->body;
    const std::size_t late_runs = system.count_events("run") - 1;
    EXPECT_EQ(reported->kind, "outcome_unknown");
    EXPECT_LE(late_runs, 1);
}

// Guards against an answer that claims more than is known of it: the runner's
// answer has no framing, and neither has the entry's, also when it is repeated.
TEST_F(call_races, an_answer_of_unknown_end_is_not_framed_as_complete)
{
    system.upstream(0).back_end->set_fault(R"({"unframed":1})");
    const auto ticket = system.request_ticket(system.entry(0));
    for (const std::size_t at : {0, 1}) {
        const auto answer = system.call(system.entry(at), ticket);
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->head.status, 200) << answer->body;
        EXPECT_EQ(answer->integrity, answer_integrity::unconfirmed);
        EXPECT_NE(answer->body.find("\"ok\""), std::string::npos);
    }
    EXPECT_EQ(system.count_events("run"), 1U);
}

// Guards against a runner that is overrun although it has asked for rest, and
// against one that is not used again after it.
TEST_F(call_races, a_resting_runner_gets_no_calls_until_its_rest_ends)
{
    auto& runner = *system.upstream(0).back_end;
    runner.set_fault(R"({"rest":"1.2"})");
    const auto first = system.call(system.entry(0), "");
    ASSERT_TRUE(first);
    EXPECT_EQ(first->head.status, 503);
    runner.set_fault("{}");
    for (const std::size_t at : {0, 1}) {
        const auto refused = system.call(system.entry(at), "");
        ASSERT_TRUE(refused);
        const auto reported = read_refusal(refused->body);
        ASSERT_TRUE(reported) << refused->body;
        EXPECT_EQ(reported->kind, "not_run");
        EXPECT_FALSE(refused->head.headers.at("retry-after").empty());
    }
    EXPECT_EQ(system.count_events("run"), 0U);
    EXPECT_EQ(system.count_events("rejected"), 1U);
    EXPECT_TRUE(wait_until([&] {
        const auto next = system.call(system.entry(0), "");
        return next && next->head.status == 200;
    }));
}

// Guards against running a call twice across an agent's restart. The new agent
// cannot tell whether a call with a ticket of the earlier incarnation has run.
TEST_F(call_races, a_ticket_of_an_earlier_incarnation_has_an_unknown_outcome)
{
    const auto ticket = system.request_ticket(system.entry(0));
    auto& upstream = system.upstream(0);
    upstream.agent->signal(SIGKILL);
    upstream.agent->wait();
    system.restart_agent(upstream);
    const auto resend = [&] {
        return read_refusal(system.call(system.entry(0), ticket)->body);
    };
    ASSERT_TRUE(wait_until([&] {
        const auto next = system.call(system.entry(0), "");
        return next && next->head.status == 200;
    }));
    const auto runs = system.count_events("run");
    const auto refusal = resend();
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->kind, "outcome_unknown");
    EXPECT_EQ(system.count_events("run"), runs);
}

} // namespace
} // namespace cyclamenrun

#include "change_submitter.hpp"

#include "configuration_history.hpp"
#include "fake_log.hpp"
#include "operator_commands.hpp"
#include "sample_changes.hpp"
#include "simulated_entry.hpp"

#include <array>
#include <gtest/gtest.h>
#include <iostream>

namespace cyclamenrun
{
namespace
{

// Two or ten operators change one resource at the same time, each through a
// different entry. If entries reported a change as accepted once its append
// succeeded, all operators would get this answer although only the first
// record on the log takes effect.
TEST(change_submitter, accepts_one_of_several_concurrent_changes)
{
    for (const int operators : {2, 10}) {
        simulated_world world;
        std::list<simulated_entry> entries;
        for (int i = 0; i < operators; ++i) {
            entries.emplace_back(world);
            entries.back().read_log();
            entries.back().submit(team_change("op-" + std::to_string(i), 0,
                                              static_cast<uint32_t>(i + 1)));
        }
        for (auto& entry : entries)
            entry.step_submitters();
        int accepted = 0;
        for (auto& entry : entries) {
            entry.read_log();
            entry.step_submitters();
            ASSERT_TRUE(entry.is_idle());
            accepted += entry.last_answer->has_accepted() ? 1 : 0;
            EXPECT_EQ(entry.store.view()->resources.team("amianto")->weight(),
                      1U);
        }
        EXPECT_EQ(accepted, 1);
        EXPECT_EQ(
            entries.back().last_answer->conflict().winner().team().weight(),
            1U);
        EXPECT_TRUE(world.history.violations().empty());
    }
}

// An append's request or answer is lost, or its record is appended twice. The
// entry must read the log before it reports an outcome: after a timeout it
// can't tell whether the record is on the log, so either outcome could be
// wrong.
TEST(change_submitter, resolves_a_lost_answer_by_reading_back)
{
    for (const auto result :
         {append_result::answer_lost, append_result::request_lost,
          append_result::duplicated}) {
        simulated_world world;
        simulated_entry entry(world);
        entry.read_log();
        world.log.queue_result(result);
        const auto answer = entry.apply(team_change("a", 0, 5));
        ASSERT_TRUE(answer && answer->has_accepted());
        EXPECT_EQ(answer->accepted().revision(), 1U);
        world.log.deliver_delayed();
        entry.catch_up();
        EXPECT_TRUE(world.history.violations().empty());
    }
}

// The answer is lost and the record reaches the log after the operator's
// deadline. The entry must report neither acceptance nor refusal, and a later
// query by the change id must return the actual outcome.
TEST(change_submitter, reports_unknown_at_the_deadline_and_the_outcome_later)
{
    simulated_world world;
    simulated_entry entry(world);
    entry.read_log();
    for (int i = 0; i < 20; ++i)
        world.log.queue_result(append_result::delayed);
    const auto answer = entry.apply(team_change("a", 0, 5));
    ASSERT_TRUE(answer && answer->has_unknown());
    EXPECT_EQ(answer->unknown().change_id(), "a");
    EXPECT_FALSE(entry.store.find_change("a").has_value());
    world.log.deliver_delayed();
    entry.catch_up();
    EXPECT_TRUE(entry.store.find_change("a")->accepted());
    EXPECT_TRUE(entry.apply(team_change("a", 0, 5))->has_accepted());
}

// The first entry crashes during an operator's call while the record of the
// change is still in transit. The operator retries through an entry that can't
// reach the log. If that entry refused the change, the operator would assume
// that it had no effect although the record still arrives.
TEST(change_submitter, reports_unknown_when_the_log_is_unavailable)
{
    simulated_world world;
    simulated_entry entry(world);
    entry.read_log();
    world.log.set_unavailable(true);
    EXPECT_TRUE(entry.apply(team_change("a", 0, 5))->has_unknown());
    world.log.set_unavailable(false);
    world.log.append(log_record_of(team_change("a", 0, 5)));
    entry.catch_up();
    EXPECT_TRUE(entry.store.find_change("a")->accepted());
    EXPECT_TRUE(world.history.violations().empty());
}

TEST(change_submitter, rejects_invalid_fields_and_reused_ids)
{
    simulated_world world;
    simulated_entry entry(world);
    entry.read_log();
    EXPECT_TRUE(entry.apply(team_change("bad", 0, 0))->has_invalid());
    EXPECT_EQ(world.log.end(), 0U) << "an invalid change must not be appended";
    EXPECT_TRUE(entry.apply(team_change("a", 0, 5))->has_accepted());
    EXPECT_TRUE(entry.apply(team_change("a", 1, 6))->has_invalid());
    auto dangling = team_change("ref", 1, 7);
    dangling.mutable_resource()->mutable_team()->add_services("nowhere");
    const auto answer = entry.apply(dangling);
    ASSERT_TRUE(answer->has_invalid());
    EXPECT_EQ(answer->invalid().errors(0).field(), "team.services");
}

TEST(operator_commands, blocks_until_read_back)
{
    fake_log log;
    configuration_store store;
    log_tailer tailer(log, store, {}, steady_now, [] { return 0.5; });
    operator_commands commands(log, store, steady_now);
    v1::ApplyChangeRequest request;
    *request.mutable_change() = team_change("a", 0, 5);
    const auto refused = commands.apply_change(request, steady_now());
    EXPECT_EQ(refused.error().reason, refusal_reason::not_ready);
    store.set_ready();
    tailer.start();
    const auto answer =
        commands.apply_change(request, steady_now() + std::chrono::minutes(1));
    log.interrupt();
    tailer.stop();
    ASSERT_TRUE(answer && answer->has_accepted());
    EXPECT_GE(store.revision(), answer->accepted().revision());
}

/**
 * Explores exhaustively how two operators submit a change through an entry
 * each: every order of the entries' steps, with at most one faulty append of
 * any kind.
 */
class protocol_explorer
{
public:
    std::uint64_t completed_runs() const { return completed_runs_; }
    const std::set<violation>& violations() const { return violations_; }
    int max_accepted() const { return max_accepted_; }

    struct participant {
        configuration_state state;
        change_submitter submitter;
        bool answered = false;
    };

    struct world {
        std::vector<std::string> log{};
        std::vector<std::string> delayed{};
        std::array<participant, 2> participants;
        time_point now{};
        bool fault_available = true;
        configuration_history history{};
        int accepted = 0;
    };

    void explore(world current, int depth);

private:
    bool step_submitter(const world& current, std::size_t index, int depth);
    void append(world current, std::size_t index, append_result result,
                int depth);
    bool step_tail(const world& current, std::size_t index, int depth);
    void finish(const world& current);

    std::uint64_t completed_runs_ = 0;
    int max_accepted_ = 0;
    std::set<violation> violations_;
};

void protocol_explorer::explore(world current, int depth)
{
    ASSERT_LT(depth, 60);
    bool any_step = false;
    for (std::size_t i = 0; i < current.participants.size(); ++i) {
        any_step = step_submitter(current, i, depth) || any_step;
        any_step = step_tail(current, i, depth) || any_step;
    }
    if (!current.delayed.empty()) {
        world next = current;
        next.log.push_back(next.delayed.back());
        next.delayed.clear();
        explore(next, depth + 1);
        any_step = true;
    }
    if (any_step)
        return;
    if (current.participants[0].answered && current.participants[1].answered)
        return finish(current);
    current.now += milliseconds(1000);
    explore(std::move(current), depth + 1);
}

bool protocol_explorer::step_submitter(const world& current, std::size_t index,
                                       int depth)
{
    const participant& before = current.participants.at(index);
    if (before.answered)
        return false;
    world next = current;
    participant& after = next.participants.at(index);
    const auto step = after.submitter.next(
        progress_of(after.state, after.submitter.change()), current.now);
    if (step == submit_step::wait)
        return false;
    if (step == submit_step::done) {
        after.answered = true;
        const auto& answer = after.submitter.result();
        next.accepted += answer.has_accepted() ? 1 : 0;
        next.history.record_answer(after.submitter.change().change_id(),
                                   answer);
        explore(std::move(next), depth + 1);
        return true;
    }
    append(current, index, append_result::stored, depth);
    if (current.fault_available) {
        for (const auto result :
             {append_result::answer_lost, append_result::request_lost,
              append_result::delayed, append_result::duplicated})
            append(current, index, result, depth);
    }
    return true;
}

void protocol_explorer::append(world current, std::size_t index,
                               append_result result, int depth)
{
    change_submitter& submitter = current.participants.at(index).submitter;
    submitter.next(
        progress_of(current.participants.at(index).state, submitter.change()),
        current.now);
    const std::uint64_t offset = current.log.size();
    current.fault_available =
        current.fault_available && result == append_result::stored;
    if (result == append_result::delayed)
        current.delayed.push_back(submitter.record());
    else if (result != append_result::request_lost)
        current.log.push_back(submitter.record());
    if (result == append_result::duplicated)
        current.log.push_back(submitter.record());
    if (result == append_result::stored || result == append_result::duplicated)
        submitter.on_append(offset, current.now);
    else
        submitter.on_append(
            tl::unexpected(log_error{log_failure::timed_out, {}, 0}),
            current.now);
    explore(std::move(current), depth + 1);
}

bool protocol_explorer::step_tail(const world& current, std::size_t index,
                                  int depth)
{
    const std::uint64_t at = current.participants.at(index).state.revision();
    if (at >= current.log.size())
        return false;
    world next = current;
    next.participants.at(index).state.apply(at, current.log.at(at));
    explore(std::move(next), depth + 1);
    return true;
}

void protocol_explorer::finish(const world& current)
{
    ++completed_runs_;
    world last = current;
    for (std::size_t i = 0; i < last.participants.size(); ++i) {
        configuration_store store;
        std::vector<platform_log_record> records;
        for (std::uint64_t at = 0; at < last.log.size(); ++at)
            records.push_back({at, last.log.at(at)});
        store.apply(records);
        last.history.record_state(i == 0 ? "a" : "b", store);
    }
    const auto found = last.history.violations();
    violations_.insert(found.begin(), found.end());
    max_accepted_ = std::max(max_accepted_, current.accepted);
    EXPECT_EQ(current.accepted, 1) << "exactly one change must be accepted";
}

TEST(change_submitter, upholds_guarantees_in_every_interleaving_with_one_fault)
{
    const time_point deadline = time_point{} + milliseconds(60'000);
    protocol_explorer explorer;
    protocol_explorer::world start{
        .participants = {
            protocol_explorer::participant{
                {}, change_submitter(team_change("a", 0, 1), deadline)},
            protocol_explorer::participant{
                {}, change_submitter(team_change("b", 0, 2), deadline)}}};
    explorer.explore(std::move(start), 0);
    std::cout << "completed runs: " << explorer.completed_runs() << '\n';
    EXPECT_GT(explorer.completed_runs(), 1000U);
    EXPECT_TRUE(explorer.violations().empty());
    EXPECT_EQ(explorer.max_accepted(), 1);
}

} // namespace
} // namespace cyclamenrun

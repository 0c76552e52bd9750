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

// Two and ten operators change one resource at the same moment, each through
// an entry of its own. Each would see its own change in force if entries
// answered by their append alone; in truth the first record wins.
TEST(change_submitter, tells_one_of_many_racing_operators_accepted)
{
    for (const int operators : {2, 10}) {
        simulated_world world;
        std::list<simulated_entry> entries;
        for (int i = 0; i < operators; ++i) {
            entries.emplace_back(world);
            entries.back().pass();
            entries.back().submit(team_change("op-" + std::to_string(i), 0,
                                              static_cast<uint32_t>(i + 1)));
        }
        for (auto& entry : entries)
            entry.step_changes();
        int accepted = 0;
        for (auto& entry : entries) {
            entry.pass();
            entry.step_changes();
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

// The append's answer is lost. An entry that says "failed" lies when the
// record is on the log; one that says "accepted" lies when it isn't.
TEST(change_submitter, settles_a_lost_answer_by_reading_back)
{
    for (const auto fate : {append_fate::answer_lost, append_fate::request_lost,
                            append_fate::duplicated}) {
        simulated_world world;
        simulated_entry entry(world);
        entry.pass();
        world.log.expect(fate);
        const auto answer = entry.apply(team_change("a", 0, 5));
        ASSERT_TRUE(answer && answer->has_accepted());
        EXPECT_EQ(answer->accepted().revision(), 1U);
        world.log.release();
        entry.catch_up();
        EXPECT_TRUE(world.history.violations().empty());
    }
}

// The answer is lost and the record comes onto the log after the operator's
// deadline: neither accepted nor refused may be told, and asking later by
// the change's id must give the truth.
TEST(change_submitter, says_unknown_at_the_deadline_and_can_be_asked_later)
{
    simulated_world world;
    simulated_entry entry(world);
    entry.pass();
    for (int i = 0; i < 20; ++i)
        world.log.expect(append_fate::delayed);
    const auto answer = entry.apply(team_change("a", 0, 5));
    ASSERT_TRUE(answer && answer->has_unknown());
    EXPECT_EQ(answer->unknown().change_id(), "a");
    EXPECT_FALSE(entry.store.find_change("a").has_value());
    world.log.release();
    entry.catch_up();
    EXPECT_TRUE(entry.store.find_change("a")->accepted());
    EXPECT_TRUE(entry.apply(team_change("a", 0, 5))->has_accepted());
}

// An operator's first call dies with its entry, but its record is on its way.
// The second goes to an entry that can't reach the log: were it told that
// nothing ran, the operator would take the change for dropped.
TEST(change_submitter, says_unknown_when_the_log_took_nothing_from_here)
{
    simulated_world world;
    simulated_entry entry(world);
    entry.pass();
    world.log.set_out(true);
    EXPECT_TRUE(entry.apply(team_change("a", 0, 5))->has_unknown());
    world.log.set_out(false);
    world.log.append(log_record_of(team_change("a", 0, 5)));
    entry.catch_up();
    EXPECT_TRUE(entry.store.find_change("a")->accepted());
    EXPECT_TRUE(world.history.violations().empty());
}

TEST(change_submitter, refuses_by_field_and_by_reused_id)
{
    simulated_world world;
    simulated_entry entry(world);
    entry.pass();
    EXPECT_TRUE(entry.apply(team_change("bad", 0, 0))->has_invalid());
    EXPECT_EQ(world.log.end(), 0U) << "what can never apply isn't appended";
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
    const auto early = commands.apply_change(request, steady_now());
    EXPECT_EQ(early.error().reason, refusal_reason::not_ready);
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
 * The record protocol with two operators, two entries and one loss, small
 * enough to be walked whole: every order of steps, every fate of one append.
 */
class protocol_walk
{
public:
    std::uint64_t ends() const { return ends_; }
    const std::set<violation>& violations() const { return violations_; }
    int accepted_most() const { return accepted_most_; }

    struct side {
        configuration_state state;
        change_submitter submitter;
        bool answered = false;
    };

    struct world {
        std::vector<std::string> log{};
        std::vector<std::string> delayed{};
        std::array<side, 2> sides;
        time_point now{};
        bool loss_left = true;
        configuration_history history{};
        int accepted = 0;
    };

    void visit(world here, int depth);

private:
    bool step_operator(const world& here, std::size_t index, int depth);
    void append(world here, std::size_t index, append_fate fate, int depth);
    bool step_tail(const world& here, std::size_t index, int depth);
    void finish(const world& here);

    std::uint64_t ends_ = 0;
    int accepted_most_ = 0;
    std::set<violation> violations_;
};

void protocol_walk::visit(world here, int depth)
{
    ASSERT_LT(depth, 60);
    bool moved = false;
    for (std::size_t i = 0; i < here.sides.size(); ++i) {
        moved = step_operator(here, i, depth) || moved;
        moved = step_tail(here, i, depth) || moved;
    }
    if (!here.delayed.empty()) {
        world next = here;
        next.log.push_back(next.delayed.back());
        next.delayed.clear();
        visit(next, depth + 1);
        moved = true;
    }
    if (moved)
        return;
    if (here.sides[0].answered && here.sides[1].answered)
        return finish(here);
    here.now += milliseconds(1000);
    visit(std::move(here), depth + 1);
}

bool protocol_walk::step_operator(const world& here, std::size_t index,
                                  int depth)
{
    const side& from = here.sides.at(index);
    if (from.answered)
        return false;
    world next = here;
    side& to = next.sides.at(index);
    const auto step = to.submitter.next(
        progress_of(to.state, to.submitter.change()), here.now);
    if (step == submit_step::wait)
        return false;
    if (step == submit_step::done) {
        to.answered = true;
        const auto& answer = to.submitter.result();
        next.accepted += answer.has_accepted() ? 1 : 0;
        next.history.tell(to.submitter.change().change_id(), answer);
        visit(std::move(next), depth + 1);
        return true;
    }
    append(here, index, append_fate::kept, depth);
    if (here.loss_left) {
        for (const auto fate :
             {append_fate::answer_lost, append_fate::request_lost,
              append_fate::delayed, append_fate::duplicated})
            append(here, index, fate, depth);
    }
    return true;
}

void protocol_walk::append(world here, std::size_t index, append_fate fate,
                           int depth)
{
    change_submitter& submitter = here.sides.at(index).submitter;
    submitter.next(progress_of(here.sides.at(index).state, submitter.change()),
                   here.now);
    const std::uint64_t offset = here.log.size();
    here.loss_left = here.loss_left && fate == append_fate::kept;
    if (fate == append_fate::delayed)
        here.delayed.push_back(submitter.record());
    else if (fate != append_fate::request_lost)
        here.log.push_back(submitter.record());
    if (fate == append_fate::duplicated)
        here.log.push_back(submitter.record());
    if (fate == append_fate::kept || fate == append_fate::duplicated)
        submitter.on_append(offset, here.now);
    else
        submitter.on_append(
            tl::unexpected(log_error{log_failure::timed_out, {}, 0}), here.now);
    visit(std::move(here), depth + 1);
}

bool protocol_walk::step_tail(const world& here, std::size_t index, int depth)
{
    const std::uint64_t at = here.sides.at(index).state.revision();
    if (at >= here.log.size())
        return false;
    world next = here;
    next.sides.at(index).state.apply(at, here.log.at(at));
    visit(std::move(next), depth + 1);
    return true;
}

void protocol_walk::finish(const world& here)
{
    ++ends_;
    world last = here;
    for (std::size_t i = 0; i < last.sides.size(); ++i) {
        configuration_store store;
        std::vector<log_entry> records;
        for (std::uint64_t at = 0; at < last.log.size(); ++at)
            records.push_back({at, last.log.at(at)});
        store.apply(records);
        last.history.see(i == 0 ? "a" : "b", store);
    }
    const auto found = last.history.violations();
    violations_.insert(found.begin(), found.end());
    accepted_most_ = std::max(accepted_most_, here.accepted);
    EXPECT_EQ(here.accepted, 1) << "one of the two has to win";
}

TEST(change_submitter, holds_in_every_order_of_two_operators_with_one_loss)
{
    const time_point deadline = time_point{} + milliseconds(60'000);
    protocol_walk walk;
    protocol_walk::world start{
        .sides = {protocol_walk::side{
                      {}, change_submitter(team_change("a", 0, 1), deadline)},
                  protocol_walk::side{
                      {}, change_submitter(team_change("b", 0, 2), deadline)}}};
    walk.visit(std::move(start), 0);
    std::cout << "ends walked: " << walk.ends() << '\n';
    EXPECT_GT(walk.ends(), 1000U);
    EXPECT_TRUE(walk.violations().empty());
    EXPECT_EQ(walk.accepted_most(), 1);
}

} // namespace
} // namespace cyclamenrun

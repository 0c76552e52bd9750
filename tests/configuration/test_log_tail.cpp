#include "configuration_recovery.hpp"
#include "sample_changes.hpp"
#include "simulated_entry.hpp"

#include <gtest/gtest.h>
#include <list>

namespace cyclamenrun
{
namespace
{

/** Sets the weight of the one team through the entry, whatever it was. */
void set_weight(simulated_entry& entry, std::uint32_t weight)
{
    const auto base = entry.store.view()->resources.revision_of(
        v1::RESOURCE_KIND_TEAM, "amianto");
    static int changes = 0;
    const auto answer = entry.apply(
        team_change("w-" + std::to_string(++changes), base, weight));
    ASSERT_TRUE(answer && answer->has_accepted());
}

std::uint32_t weight_at(const simulated_entry& entry)
{
    return entry.store.view()->resources.team("amianto")->weight();
}

// The log is out for an hour, and every VM is replaced meanwhile. Callers of
// the new entries would be refused, or served by no limits at all; they take
// the state of a peer instead, and go on from there when the log is back.
TEST(log_tail, starts_from_a_peer_while_the_log_is_out)
{
    simulated_world world;
    simulated_entry first(world);
    first.pass();
    set_weight(first, 5);
    world.log.set_out(true);
    simulated_entry second(world);
    second.catch_up();
    EXPECT_FALSE(second.store.ready());
    second.take_state_of(first);
    EXPECT_EQ(weight_at(second), 5U);
    world.advance(std::chrono::hours(1));
    simulated_entry third(world);
    third.take_state_of(second);
    first.take_state_of(third);
    EXPECT_GT(second.status().failures, 0U);
    world.log.set_out(false);
    set_weight(third, 6);
    second.catch_up();
    EXPECT_EQ(weight_at(second), 6U);
    EXPECT_TRUE(world.history.violations().empty());
}

// Retention passes during an outage. A reader that had not read the last
// records would miss an accepted change for ever if it went on at the first
// record kept; it keeps what it has until another's snapshot closes the gap.
TEST(log_tail, never_passes_over_records_that_are_gone)
{
    simulated_world world;
    simulated_entry ahead(world);
    simulated_entry behind(world);
    ahead.pass();
    behind.pass();
    set_weight(ahead, 5);
    behind.catch_up();
    set_weight(ahead, 7);
    world.log.set_out(true);
    behind.catch_up();
    world.advance(std::chrono::hours(1));
    world.log.set_out(false);
    world.log.retain_from(world.log.end());
    world.log.append(log_record_of(team_change("later", 1, 9)));
    behind.catch_up();
    EXPECT_EQ(behind.status().state, tail_state::behind_gap);
    EXPECT_EQ(weight_at(behind), 5U);
    ahead.catch_up(); // writes a snapshot, since no other is retained
    behind.catch_up();
    EXPECT_EQ(behind.status().state, tail_state::following);
    EXPECT_EQ(behind.status().gaps, 1U);
    EXPECT_EQ(weight_at(behind), 7U);
    EXPECT_EQ(behind.store.revision(), world.log.end());
    EXPECT_TRUE(world.history.violations().empty());
}

// As above, but nobody has what is gone: nothing may be made up, and a
// snapshot from after what the reader has but before the gap doesn't help.
TEST(log_tail, stays_behind_a_gap_that_nobody_can_close)
{
    simulated_world world;
    simulated_entry writer(world);
    simulated_entry reader(world);
    writer.pass();
    set_weight(writer, 5);
    reader.catch_up();
    set_weight(writer, 6);
    const auto old = snapshot_records(writer.store.snapshot(), 77, 1U << 15U);
    set_weight(writer, 7);
    world.log.retain_from(world.log.end());
    world.log.append(old.at(0));
    reader.catch_up();
    EXPECT_EQ(reader.status().state, tail_state::behind_gap);
    EXPECT_EQ(weight_at(reader), 5U);
    reader.take_state_of(writer);
    reader.catch_up();
    EXPECT_EQ(reader.status().state, tail_state::following);
    EXPECT_EQ(weight_at(reader), 7U);
    EXPECT_TRUE(world.history.violations().empty());
}

// An entry accepts a change just before the log goes out, and dies; its
// record expires before any other entry has read it. An agent has it by a
// heartbeat: were entries to look at the log alone, it would be lost.
TEST(log_tail, recovers_from_an_agent_what_the_log_has_lost)
{
    simulated_world world;
    auto accepting = std::make_unique<simulated_entry>(world);
    simulated_entry other(world);
    configuration_store agent;
    accepting->pass();
    set_weight(*accepting, 5);
    other.catch_up();
    set_weight(*accepting, 6);
    ASSERT_TRUE(agent.apply(accepting->store.delta_after(0)));
    accepting.reset();
    world.log.retain_from(world.log.end());
    world.log.set_out(true);

    std::vector<v1::ProcessRevision> peers(2);
    peers[0].set_process("agent-dead");
    peers[0].set_revision(agent.revision() + 1);
    peers[1].set_process("agent");
    peers[1].set_revision(agent.revision());
    configuration_recovery recovery(other.store, [&](const std::string& peer) {
        return peer == "agent" ? agent.state() : std::string();
    });
    other.pass();
    EXPECT_FALSE(recovery.poll(other.status(), peers, world.now));
    other.pass();
    EXPECT_TRUE(recovery.poll(other.status(), peers, world.now));
    EXPECT_FALSE(recovery.poll(other.status(), peers, world.now)) << "too soon";
    EXPECT_EQ(weight_at(other), 6U);
    world.log.set_out(false);
    other.catch_up();
    EXPECT_EQ(other.status().state, tail_state::following);
    EXPECT_TRUE(world.history.violations().empty());
}

// A writer of snapshots is frozen after it took the state, and resumes when
// much has changed: its old snapshot comes onto the log last. A reader that
// took the newest record for the newest state would go back in time.
TEST(log_tail, is_not_set_back_by_an_old_snapshot_written_late)
{
    simulated_world world;
    simulated_entry entry(world);
    entry.pass();
    set_weight(entry, 5);
    const auto old = snapshot_records(entry.store.snapshot(), 77, 1U << 15U);
    const auto kept_from = entry.store.revision();
    set_weight(entry, 6);
    world.log.append(old.at(0));
    entry.catch_up();
    EXPECT_EQ(weight_at(entry), 6U);
    // Nor does it mislead a fresh reader, to whom it is of use.
    world.log.retain_from(kept_from);
    simulated_entry fresh(world);
    for (int i = 0; i < 20 && !fresh.store.ready(); ++i)
        fresh.pass();
    ASSERT_TRUE(fresh.store.ready());
    EXPECT_EQ(weight_at(fresh), 6U) << "ready before what came after it";
    EXPECT_TRUE(world.history.violations().empty());
}

// Every entry is replaced, one by one, again and again, while retention goes
// on: the first changes are long gone from the log, and have to live on in
// snapshots which entries that saw neither write again.
TEST(log_tail, carries_state_through_entries_replaced_one_by_one)
{
    snapshot_settings settings;
    settings.max_records = 10;
    simulated_world world;
    std::list<simulated_entry> entries;
    for (int i = 0; i < 3; ++i)
        entries.emplace_back(world, settings).pass();
    set_weight(entries.front(), 42);
    EXPECT_TRUE(
        entries.front().apply(service_change("s-0", 0))->has_accepted());
    std::uint64_t base = 2;
    for (int round = 1; round <= 40; ++round) {
        const auto answer = entries.back().apply(
            service_change("s-" + std::to_string(round), base));
        ASSERT_TRUE(answer && answer->has_accepted()) << round;
        base = answer->accepted().revision();
        for (auto& entry : entries)
            entry.catch_up();
        entries.pop_front();
        entries.emplace_back(world, settings).catch_up();
        ASSERT_TRUE(entries.back().store.ready()) << round;
        if (world.log.end() > 30)
            world.log.retain_from(world.log.end() - 30);
        world.advance(std::chrono::minutes(1));
    }
    EXPECT_GT(world.log.first_retained(), 2U);
    EXPECT_EQ(weight_at(entries.back()), 42U);
    EXPECT_TRUE(world.history.violations().empty());
}

// The log answers each call 30 s late. An operator with 10 s to spare hears
// that the outcome isn't known, and the change is in force all the same.
TEST(log_tail, tells_unknown_when_the_log_is_slow)
{
    simulated_world world;
    simulated_entry entry(world);
    entry.pass();
    entry.submit(team_change("slow", 0, 3));
    world.log.expect(append_fate::delayed);
    entry.step_changes();
    world.advance(milliseconds(30'000));
    entry.step_changes();
    ASSERT_TRUE(entry.is_idle());
    EXPECT_TRUE(entry.last_answer->has_unknown());
    world.log.release();
    entry.catch_up();
    EXPECT_EQ(weight_at(entry), 3U);
    EXPECT_TRUE(world.history.violations().empty());
}

TEST(log_tail, leaves_a_fresh_process_unready_until_it_has_caught_up)
{
    simulated_world world;
    simulated_entry entry(world);
    entry.pass();
    for (std::uint32_t i = 1; i <= 300; ++i)
        set_weight(entry, i);
    simulated_entry fresh(world);
    fresh.pass(); // one page of several
    EXPECT_FALSE(fresh.store.ready());
    fresh.catch_up();
    EXPECT_EQ(weight_at(fresh), 300U);
}

TEST(snapshot_schedule, has_one_writer_and_stand_ins_after_it)
{
    const std::vector<std::string> entries{"a", "b", "c", "d"};
    snapshot_settings settings;
    std::map<std::size_t, int> ranks;
    int early = 0;
    for (const auto& entry : entries) {
        snapshot_schedule schedule(entry, settings, time_point{});
        schedule.on_entries(entries);
        ++ranks[schedule.rank()];
        schedule.on_snapshot(10, 10, time_point{});
        EXPECT_FALSE(schedule.is_due(500, 0, time_point{}));
        early += schedule.is_due(1010, 0, time_point{}) ? 1 : 0;
        const auto later = time_point{} + settings.stagger * entries.size();
        EXPECT_TRUE(schedule.is_due(1010, 0, later));
        schedule.on_snapshot(1010, 1010, later);
        EXPECT_FALSE(schedule.is_due(1011, 0, later));
        EXPECT_FALSE(schedule.is_due(1011, 0, later + settings.max_age / 2));
        schedule.is_due(1011, 0, later + settings.max_age);
        EXPECT_TRUE(schedule.is_due(1011, 0,
                                    later + settings.max_age +
                                        settings.stagger * entries.size()));
    }
    EXPECT_EQ(early, 1);
    EXPECT_EQ(ranks.size(), entries.size());
}

} // namespace
} // namespace cyclamenrun

#include "configuration_recovery.hpp"
#include "sample_changes.hpp"
#include "simulated_entry.hpp"

#include <gtest/gtest.h>
#include <list>

namespace cyclamenrun
{
namespace
{

/**
 * Sets the team's weight through the entry, based on the team's revision that
 * the entry knows.
 */
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

// The log is unavailable for an hour, during which every VM is replaced. New
// entries without a configuration would refuse callers or serve them without
// limits. They restore a peer's state, and continue from it when the log is
// available again.
TEST(log_tail, starts_from_a_peer_while_the_log_is_unavailable)
{
    simulated_world world;
    simulated_entry first(world);
    first.read_log();
    set_weight(first, 5);
    world.log.set_unavailable(true);
    simulated_entry second(world);
    second.catch_up();
    EXPECT_FALSE(second.store.ready());
    second.restore_from(first);
    EXPECT_EQ(weight_at(second), 5U);
    world.advance(std::chrono::hours(1));
    simulated_entry third(world);
    third.restore_from(second);
    first.restore_from(third);
    EXPECT_GT(second.status().failures, 0U);
    world.log.set_unavailable(false);
    set_weight(third, 6);
    second.catch_up();
    EXPECT_EQ(weight_at(second), 6U);
    EXPECT_TRUE(world.history.violations().empty());
}

// Records expire during an outage before a reader has read them. If the reader
// continued at the first retained record, it would never see an accepted
// change. It must keep its state until a snapshot that covers the expired
// records closes the gap.
TEST(log_tail, never_skips_expired_records)
{
    simulated_world world;
    simulated_entry ahead(world);
    simulated_entry behind(world);
    ahead.read_log();
    behind.read_log();
    set_weight(ahead, 5);
    behind.catch_up();
    set_weight(ahead, 7);
    world.log.set_unavailable(true);
    behind.catch_up();
    world.advance(std::chrono::hours(1));
    world.log.set_unavailable(false);
    world.log.expire_before(world.log.end());
    world.log.append(log_record_of(team_change("later", 1, 9)));
    behind.catch_up();
    EXPECT_EQ(behind.status().state, tail_state::behind_gap);
    EXPECT_EQ(weight_at(behind), 5U);
    ahead.catch_up(); // writes a snapshot because none is retained
    behind.catch_up();
    EXPECT_EQ(behind.status().state, tail_state::following);
    EXPECT_EQ(behind.status().gaps, 1U);
    EXPECT_EQ(weight_at(behind), 7U);
    EXPECT_EQ(behind.store.revision(), world.log.end());
    EXPECT_TRUE(world.history.violations().empty());
}

// Records expire before a reader has read them, and the only snapshot on the
// log lacks the last of them. It is newer than the reader's state but must not
// close the gap. The reader must stay behind the gap until it restores the
// state of a peer, which covers all expired records.
TEST(log_tail, stays_behind_a_gap_that_no_snapshot_covers)
{
    simulated_world world;
    simulated_entry writer(world);
    simulated_entry reader(world);
    writer.read_log();
    set_weight(writer, 5);
    reader.catch_up();
    set_weight(writer, 6);
    const auto old_snapshot =
        snapshot_records(writer.store.snapshot(), 77, 1U << 15U);
    set_weight(writer, 7);
    world.log.expire_before(world.log.end());
    world.log.append(old_snapshot.at(0));
    reader.catch_up();
    EXPECT_EQ(reader.status().state, tail_state::behind_gap);
    EXPECT_EQ(weight_at(reader), 5U);
    reader.restore_from(writer);
    reader.catch_up();
    EXPECT_EQ(reader.status().state, tail_state::following);
    EXPECT_EQ(weight_at(reader), 7U);
    EXPECT_TRUE(world.history.violations().empty());
}

// An entry accepts a change, sends it to an agent in a heartbeat and crashes.
// The record expires and the log becomes unavailable before any other entry
// reads it. If entries used the log alone, the accepted change would be lost.
TEST(log_tail, recovers_expired_records_from_an_agent)
{
    simulated_world world;
    auto accepting = std::make_unique<simulated_entry>(world);
    simulated_entry other(world);
    configuration_store agent;
    accepting->read_log();
    set_weight(*accepting, 5);
    other.catch_up();
    set_weight(*accepting, 6);
    ASSERT_TRUE(agent.apply(accepting->store.delta_after(0)));
    accepting.reset();
    world.log.expire_before(world.log.end());
    world.log.set_unavailable(true);

    std::vector<v1::ProcessRevision> peers(2);
    peers[0].set_process("agent-dead");
    peers[0].set_revision(agent.revision() + 1);
    peers[1].set_process("agent");
    peers[1].set_revision(agent.revision());
    configuration_recovery recovery(other.store, [&](const std::string& peer) {
        return peer == "agent" ? agent.serialized_state() : std::string();
    });
    // Peers are queried only after min_failures failed reads.
    other.read_log();
    EXPECT_FALSE(recovery.poll(other.status(), peers, world.now));
    other.read_log();
    EXPECT_TRUE(recovery.poll(other.status(), peers, world.now));
    EXPECT_FALSE(recovery.poll(other.status(), peers, world.now))
        << "query_interval has not passed";
    EXPECT_EQ(weight_at(other), 6U);
    world.log.set_unavailable(false);
    other.catch_up();
    EXPECT_EQ(other.status().state, tail_state::following);
    EXPECT_TRUE(world.history.violations().empty());
}

// A snapshot writer is suspended after it copied the state and appends its
// outdated snapshot after later changes. A reader that assumed the last
// snapshot on the log to be the newest state would revert those changes.
TEST(log_tail, ignores_an_old_snapshot_written_late)
{
    simulated_world world;
    simulated_entry entry(world);
    entry.read_log();
    set_weight(entry, 5);
    const auto old_snapshot =
        snapshot_records(entry.store.snapshot(), 77, 1U << 15U);
    const auto first_retained = entry.store.revision();
    set_weight(entry, 6);
    world.log.append(old_snapshot.at(0));
    entry.catch_up();
    EXPECT_EQ(weight_at(entry), 6U);
    // A new reader starts from this snapshot and must apply the later changes.
    world.log.expire_before(first_retained);
    simulated_entry new_entry(world);
    for (int i = 0; i < 20 && !new_entry.store.ready(); ++i)
        new_entry.read_log();
    ASSERT_TRUE(new_entry.store.ready());
    EXPECT_EQ(weight_at(new_entry), 6U)
        << "must not be ready before it applied later changes";
    EXPECT_TRUE(world.history.violations().empty());
}

// Entries are replaced one by one while records expire, so the first changes
// survive only in snapshots. They would be lost if entries that have read
// neither the changes nor the first snapshots did not write new ones.
TEST(log_tail, keeps_state_while_entries_are_replaced_one_by_one)
{
    snapshot_settings settings;
    settings.max_records = 10;
    simulated_world world;
    std::list<simulated_entry> entries;
    for (int i = 0; i < 3; ++i)
        entries.emplace_back(world, settings).read_log();
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
            world.log.expire_before(world.log.end() - 30);
        world.advance(std::chrono::minutes(1));
    }
    EXPECT_GT(world.log.first_retained(), 2U);
    EXPECT_EQ(weight_at(entries.back()), 42U);
    EXPECT_TRUE(world.history.violations().empty());
}

// A record reaches the log only after the operator's deadline of 10 s. If the
// entry reported the change as refused, the operator would assume that it had
// no effect, although it takes effect later.
TEST(log_tail, reports_unknown_when_the_log_is_slow)
{
    simulated_world world;
    simulated_entry entry(world);
    entry.read_log();
    entry.submit(team_change("slow", 0, 3));
    world.log.queue_result(append_result::delayed);
    entry.step_submitters();
    world.advance(milliseconds(30'000));
    entry.step_submitters();
    ASSERT_TRUE(entry.is_idle());
    EXPECT_TRUE(entry.last_answer->has_unknown());
    world.log.deliver_delayed();
    entry.catch_up();
    EXPECT_EQ(weight_at(entry), 3U);
    EXPECT_TRUE(world.history.violations().empty());
}

TEST(log_tail, keeps_a_new_process_unready_until_it_has_caught_up)
{
    simulated_world world;
    simulated_entry entry(world);
    entry.read_log();
    for (std::uint32_t i = 1; i <= 300; ++i)
        set_weight(entry, i);
    simulated_entry new_entry(world);
    new_entry.read_log(); // one page of several
    EXPECT_FALSE(new_entry.store.ready());
    new_entry.catch_up();
    EXPECT_EQ(weight_at(new_entry), 300U);
}

TEST(snapshot_schedule, has_one_writer_and_ranked_backups)
{
    const std::vector<std::string> entries{"a", "b", "c", "d"};
    snapshot_settings settings;
    std::map<std::size_t, int> ranks;
    int due_at_once = 0;
    for (const auto& entry : entries) {
        snapshot_schedule schedule(entry, settings, time_point{});
        schedule.on_entries(entries);
        ++ranks[schedule.rank()];
        schedule.on_snapshot(10, 10, time_point{});
        EXPECT_FALSE(schedule.is_due(500, 0, time_point{}));
        due_at_once += schedule.is_due(1010, 0, time_point{}) ? 1 : 0;
        const auto later = time_point{} + settings.stagger * entries.size();
        EXPECT_TRUE(schedule.is_due(1010, 0, later));
        schedule.on_snapshot(1010, 1010, later);
        EXPECT_FALSE(schedule.is_due(1011, 0, later));
        EXPECT_FALSE(schedule.is_due(1011, 0, later + settings.max_age / 2));
        // The delay of the rank starts when is_due() first finds the snapshot
        // too old.
        schedule.is_due(1011, 0, later + settings.max_age);
        EXPECT_TRUE(schedule.is_due(1011, 0,
                                    later + settings.max_age +
                                        settings.stagger * entries.size()));
    }
    EXPECT_EQ(due_at_once, 1);
    EXPECT_EQ(ranks.size(), entries.size());
}

} // namespace
} // namespace cyclamenrun

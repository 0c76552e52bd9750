#include "configuration_state.hpp"

#include "change_validation.hpp"
#include "sample_changes.hpp"
#include "snapshot_parts.hpp"

#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

/** Applies the change as the log's next record. */
apply_result add(configuration_state& state, const v1::ChangeRecord& change)
{
    return state.apply(state.revision(), log_record_of(change));
}

std::string bytes_of(const configuration_state& state)
{
    return state.snapshot().SerializeAsString();
}

TEST(configuration_state, accepts_one_of_two_concurrent_changes)
{
    configuration_state state;
    EXPECT_EQ(add(state, team_change("a", 0, 10)), apply_result::accepted);
    EXPECT_EQ(add(state, team_change("b", 0, 20)), apply_result::conflict);
    EXPECT_EQ(state.resources().team("amianto")->weight(), 10U);
    EXPECT_EQ(add(state, team_change("c", 1, 30)), apply_result::accepted);
    EXPECT_EQ(state.resources().team("amianto")->weight(), 30U);
}

TEST(configuration_state, ignores_a_second_copy_and_a_reused_id)
{
    configuration_state state;
    add(state, team_change("a", 0, 10));
    EXPECT_EQ(add(state, team_change("a", 0, 10)), apply_result::duplicate);
    EXPECT_EQ(add(state, team_change("a", 1, 11)), apply_result::reused_id);
    EXPECT_EQ(state.resources().team("amianto")->weight(), 10U);
    EXPECT_EQ(state.revision(), 3U);
}

// A team is created and deleted. A delayed second copy of the creation reaches
// the log so late that the outcome of its change id is no longer stored. It
// must not restore the team, since its base revision is below the tombstone's.
TEST(configuration_state, keeps_a_deleted_resource_deleted)
{
    configuration_state state;
    add(state, team_change("a", 0, 10));
    EXPECT_EQ(add(state, deletion(team_change("b", 1, 0))),
              apply_result::accepted);
    for (std::size_t i = 0; i <= configuration_state::max_outcomes; ++i)
        add(state, team_change("x" + std::to_string(i), 0, 1, "other"));
    EXPECT_FALSE(state.find_change("a").has_value());
    EXPECT_EQ(add(state, team_change("a", 0, 10)), apply_result::conflict);
    EXPECT_EQ(state.resources().team("amianto"), nullptr);
    EXPECT_EQ(add(state, team_change("c", 2, 5)), apply_result::accepted);
}

TEST(configuration_state, skips_bad_records_and_counts_them)
{
    v1::LogRecord newer;
    newer.set_schema(configuration_state::schema + 1);
    *newer.mutable_change() = team_change("n", 0, 1);
    auto negative = team_change("neg", 0, static_cast<std::uint32_t>(-1));
    auto dangling = team_change("ref", 0, 1);
    dangling.mutable_resource()->mutable_team()->add_services("nowhere");
    const std::pair<std::string, apply_result> rows[] = {
        {"\xff\xff not a record", apply_result::unparsable},
        {"", apply_result::unparsable},
        {newer.SerializeAsString(), apply_result::newer_schema},
        {std::string(change_limits::max_record_bytes + 1, 'x'),
         apply_result::oversized},
        {log_record_of(negative), apply_result::invalid},
        {log_record_of(dangling), apply_result::invalid},
    };
    configuration_state state;
    for (const auto& [bytes, result] : rows) {
        const auto before = state.count(result);
        EXPECT_EQ(state.apply(state.revision(), bytes), result);
        EXPECT_EQ(state.count(result), before + 1);
    }
    EXPECT_EQ(state.revision(), std::size(rows));
    EXPECT_EQ(state.resources().size(), 0U);
    EXPECT_EQ(state.apply(state.revision() + 1, ""),
              apply_result::out_of_order);
    EXPECT_EQ(state.revision(), std::size(rows));
}

configuration_state sample_state()
{
    configuration_state state;
    add(state, service_change("s", 0));
    add(state, team_change("a", 0, 10));
    add(state, team_change("b", 0, 20));
    add(state, deletion(team_change("d", 2, 0)));
    for (int i = 0; i < 200; ++i)
        add(state, team_change("t" + std::to_string(i), 0, 1,
                               "team-" + std::to_string(i)));
    v1::ClaimRecord claim;
    claim.set_upstream("vm-1");
    claim.set_incarnation(7);
    state.apply(state.revision(), log_record_of(claim));
    return state;
}

TEST(configuration_state, is_restored_unchanged_from_snapshot_parts)
{
    const auto state = sample_state();
    const auto records = snapshot_records(state.snapshot(), 99, 4096);
    ASSERT_GT(records.size(), 3U);
    snapshot_assembler assembler;
    std::optional<v1::SnapshotRecord> whole;
    for (auto it = records.rbegin(); it != records.rend(); ++it) {
        EXPECT_LE(it->size(), 4096U + 64U);
        v1::LogRecord record;
        ASSERT_TRUE(record.ParseFromString(*it));
        ASSERT_FALSE(whole.has_value());
        whole = assembler.add(record.snapshot());
    }
    ASSERT_TRUE(whole.has_value());
    configuration_state copy;
    EXPECT_TRUE(copy.restore(*whole));
    EXPECT_EQ(bytes_of(copy), bytes_of(state));
    EXPECT_FALSE(copy.restore(*whole)) << "the same snapshot is not newer";
    EXPECT_EQ(add(copy, team_change("b", 0, 20)), apply_result::duplicate);
}

TEST(configuration_state, updates_an_agent_by_deltas)
{
    auto state = sample_state();
    configuration_state agent;
    EXPECT_TRUE(agent.apply(state.delta_after(0)));
    EXPECT_EQ(bytes_of(agent), bytes_of(state));

    add(state, team_change("e", 4, 40));
    state.apply(state.revision(), "junk");
    const auto delta = state.delta_after(agent.revision());
    EXPECT_FALSE(delta.has_snapshot());
    EXPECT_EQ(delta.records_size(), 1)
        << "the delta omits the unparsable record";
    EXPECT_TRUE(agent.apply(delta));
    EXPECT_EQ(bytes_of(agent), bytes_of(state));
    EXPECT_FALSE(agent.apply(delta)) << "an old delta changes nothing";

    for (std::size_t i = 0; i <= configuration_state::max_recent_records; ++i)
        add(state, team_change("z" + std::to_string(i), 0, 1, "z"));
    EXPECT_TRUE(state.delta_after(agent.revision()).has_snapshot());
    EXPECT_TRUE(agent.apply(state.delta_after(agent.revision())));
    EXPECT_EQ(bytes_of(agent), bytes_of(state));
}

TEST(configuration_state, rejects_a_delta_that_starts_after_a_gap)
{
    const auto state = sample_state();
    configuration_state agent;
    EXPECT_FALSE(agent.apply(state.delta_after(5)));
    EXPECT_EQ(agent.revision(), 0U);
}

} // namespace
} // namespace cyclamenrun

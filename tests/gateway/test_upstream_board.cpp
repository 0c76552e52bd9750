#include "upstream_board.hpp"

#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

time_point at(int ms)
{
    return time_point(milliseconds(100000 + ms));
}

upstream_record record(const std::string& id, std::uint16_t port = 80)
{
    upstream_record result;
    result.id = id;
    result.service = "s";
    result.address = {"10.0.0.1", port};
    result.failure_domain = "d";
    result.slots = 10;
    result.started_ms = 1;
    return result;
}

struct board_fixture : testing::Test {
    std::vector<std::string> left;
    std::vector<std::string> gone;
    upstream_board board{
        {[this](const std::string& id, std::optional<time_point>) {
             left.push_back(id);
         },
         [this](const std::string& id) { gone.push_back(id); }}};

    void put(const upstream_record& entry, int ms = 0, bool doubt = false)
    {
        board.apply({entry.id, entry}, at(ms), doubt);
    }
    void drop(const std::string& id, int ms = 0, bool doubt = false)
    {
        board.apply({id, std::nullopt}, at(ms), doubt);
    }
    std::size_t usable() const { return board.available("s").size(); }
};

using upstream_board_test = board_fixture;

// All gateways have lost power. The directory still names engines that were
// reclaimed meanwhile, beside those that came in their place. A gateway that
// knows nothing yet sends to the old ones, is turned away four times and
// refuses a caller whom any other engine would have served.
TEST_F(upstream_board_test, uses_the_one_that_started_last_at_an_address)
{
    auto before = record("before");
    auto after = record("after");
    after.started_ms = 2;
    for (const bool newer_first : {true, false}) {
        put(newer_first ? after : before);
        put(newer_first ? before : after);
        ASSERT_EQ(usable(), 1U);
        EXPECT_EQ(board.available("s").front()->record.id, "after");
        // Loads of that address are the newer one's.
        board.take_load(after.address, {}, at(0));
        EXPECT_TRUE(board.find("after")->load);
        EXPECT_FALSE(board.find("before")->load);
        drop("before");
        EXPECT_EQ(usable(), 1U);
        drop("after");
        EXPECT_EQ(usable(), 0U);
    }
    // One that has come back under its id, later still, is there itself.
    put(after);
    before.started_ms = 3;
    put(before);
    ASSERT_EQ(usable(), 1U);
    EXPECT_EQ(board.available("s").front()->record.id, "before");
}

// All VMs have lost power at once. Engines answer again within a second under
// new ids, and the directory names their predecessors for three seconds more.
// Whoever believes it is turned away by each engine that it tries.
TEST_F(upstream_board_test, uses_an_engine_that_its_monitor_tells_of)
{
    put(record("before"));
    board.take_identity(record("x").address, "after", at(0));
    ASSERT_EQ(usable(), 1U);
    const auto& told = board.available("s").front()->record;
    EXPECT_EQ(told.id, "after");
    EXPECT_EQ(told.slots, 10U);
    EXPECT_EQ(board.find_at(told.address)->record.id, "after");
    board.dispatched("after", 100, at(10));
    // The directory has its own record of it: the same process.
    auto listed = record("after");
    listed.started_ms = 777;
    put(listed, 100);
    EXPECT_TRUE(gone.empty());
    EXPECT_EQ(board.find("after")->own_running, 1U);
    EXPECT_EQ(board.find("after")->record, listed);
    // Late heartbeats of its predecessor change nothing.
    put(record("before"), 200);
    EXPECT_EQ(board.available("s").front()->record.id, "after");
    drop("before", 300);
    EXPECT_EQ(usable(), 1U);
}

// A snapshot of the directory was on its way when the engine started.
TEST_F(upstream_board_test, keeps_one_that_is_too_new_for_a_snapshot)
{
    put(record("before"));
    board.take_identity(record("x").address, "after", at(0));
    board.replace_all({{"before", record("before")}}, at(100), false);
    EXPECT_EQ(board.available("s").front()->record.id, "after");
}

// What is told of an engine that the directory never lists must not be
// believed for good, nor again and again.
TEST_F(upstream_board_test, drops_one_that_the_directory_does_not_list)
{
    put(record("before"));
    board.take_identity(record("x").address, "after", at(0));
    board.end_doubts(at(4900));
    EXPECT_EQ(usable(), 1U);
    board.end_doubts(at(5000));
    EXPECT_EQ(usable(), 0U);
    put(record("other"), 5100);
    board.take_identity(record("x").address, "after", at(5200));
    EXPECT_EQ(board.available("s").front()->record.id, "other");
}

// It never says that it drains: its entry goes and it serves on, beside a
// monitor that still tells of it. No new work may go there.
TEST_F(upstream_board_test, believes_the_directory_that_one_has_gone)
{
    put(record("a"));
    board.dispatched("a", 100, at(0));
    drop("a");
    put(record("next"));
    board.take_identity(record("x").address, "a", at(10));
    ASSERT_EQ(usable(), 1U);
    EXPECT_EQ(board.available("s").front()->record.id, "next");
}

TEST_F(upstream_board_test, learns_nothing_of_addresses_that_it_does_not_know)
{
    board.take_identity(record("x").address, "after", at(0));
    EXPECT_EQ(board.size(), 0U);
    put(record("a", 80));
    put(record("b", 81));
    // "b" is elsewhere: a monitor does not speak for it.
    board.take_identity(record("x", 80).address, "b", at(0));
    EXPECT_EQ(usable(), 2U);
    EXPECT_EQ(board.find_at(record("x", 80).address)->record.id, "a");
}

TEST_F(upstream_board_test, gives_no_work_to_one_that_drains)
{
    put(record("a"));
    EXPECT_EQ(usable(), 1U);
    auto draining = record("a");
    draining.draining = true;
    put(draining);
    EXPECT_EQ(usable(), 0U);
    EXPECT_EQ(left, std::vector<std::string>{"a"});
    put(draining);
    EXPECT_EQ(left.size(), 1U);
    EXPECT_NE(board.find("a"), nullptr);
}

// Some upstreams never say that they drain: their entry goes, and they serve
// on. What runs there must be moved, not forgotten.
TEST_F(upstream_board_test, keeps_one_whose_entry_has_gone_while_work_runs)
{
    put(record("a"));
    board.dispatched("a", 100, at(0));
    drop("a");
    EXPECT_EQ(usable(), 0U);
    EXPECT_EQ(left.size(), 1U);
    EXPECT_TRUE(gone.empty());
    board.settled("a");
    EXPECT_EQ(gone, std::vector<std::string>{"a"});
}

// The store was down for seconds and its entries have lapsed, though every
// upstream lives. Dropped at once, no request could be served; kept for good,
// work would go to those that died.
TEST_F(upstream_board_test, doubts_entries_that_lapsed_in_an_outage)
{
    put(record("a"));
    put(record("b", 81));
    drop("a", 0, true);
    drop("b", 0, true);
    EXPECT_EQ(usable(), 2U);
    EXPECT_TRUE(board.find("a")->doubted_until);
    put(record("a"), 500);
    board.end_doubts(at(1899));
    EXPECT_EQ(usable(), 2U);
    board.end_doubts(at(1900));
    EXPECT_EQ(usable(), 1U);
    EXPECT_EQ(gone, std::vector<std::string>{"b"});
}

TEST_F(upstream_board_test, a_whole_list_drops_what_is_not_in_it)
{
    put(record("a"));
    put(record("b", 81));
    board.replace_all({{"b", record("b", 81)}}, at(0), false);
    EXPECT_EQ(usable(), 1U);
    EXPECT_EQ(gone, std::vector<std::string>{"a"});
}

// An upstream crashes and starts again under its id. What was believed of the
// old process (its load, its leaving, its connections) is void.
TEST_F(upstream_board_test, a_new_process_under_an_old_id_starts_anew)
{
    put(record("a"));
    board.failed("a", at(0));
    engine_load load;
    load.leaving = true;
    board.take_load({"10.0.0.1", 80}, load, at(0));
    EXPECT_EQ(usable(), 0U);
    auto reborn = record("a");
    reborn.started_ms = 2;
    put(reborn);
    EXPECT_EQ(gone, std::vector<std::string>{"a"});
    EXPECT_EQ(usable(), 1U);
    EXPECT_EQ(board.find("a")->failure_rate, 0);
}

TEST_F(upstream_board_test, a_load_tells_that_an_engine_leaves)
{
    put(record("a"));
    engine_load load;
    load.leaving = true;
    load.leaves_in_ms = 700;
    board.take_load({"10.0.0.1", 80}, load, at(0));
    EXPECT_EQ(left, std::vector<std::string>{"a"});
    EXPECT_EQ(board.find("a")->leaves_at, at(700));
    // The directory lags behind the engine's own word.
    put(record("a"));
    EXPECT_EQ(usable(), 0U);
}

TEST_F(upstream_board_test, counts_own_work_until_a_load_contains_it)
{
    put(record("a"));
    placement_request request;
    request.objective = milliseconds(1000);
    request.engine_tokens = 10000;
    request.from_domain = "d";
    engine_load idle;
    idle.memory_total = 10000;
    board.take_load({"10.0.0.1", 80}, idle, at(0));
    board.dispatched("a", 3500, at(10));
    const auto wait = [&](int ms) {
        return placement_of(*board.find("a"), request, at(ms)).wait;
    };
    EXPECT_DOUBLE_EQ(wait(10), 0.5);
    // Seen before the dispatch could reach the engine.
    board.take_load({"10.0.0.1", 80}, idle, at(20));
    EXPECT_DOUBLE_EQ(wait(20), 0.5);
    auto busy = idle;
    busy.running = 1;
    busy.unread = milliseconds(250);
    board.take_load({"10.0.0.1", 80}, busy, at(120));
    EXPECT_DOUBLE_EQ(wait(120), 0.25);
    board.take_load({"10.0.0.1", 80}, idle, at(900));
    EXPECT_DOUBLE_EQ(wait(900), 0);
}

// Engines of another kind read four times as fast, or as slowly. A gateway
// that went by one speed for all would send to those that seem to have less
// to read and make callers wait there. Each engine's monitor tells its speed.
TEST_F(upstream_board_test, believes_each_engine_as_fast_as_its_monitor_tells)
{
    put(record("a"));
    placement_request request;
    request.objective = milliseconds(1000);
    request.engine_tokens = 10000;
    request.prompt_tokens = 2800;
    engine_load load;
    load.memory_total = 10000;
    const auto first_after = [&](double speed) {
        load.tokens_read_per_ms = speed;
        board.take_load({"10.0.0.1", 80}, load, at(0));
        return first_part_after(*board.find("a"), request, at(0));
    };
    EXPECT_EQ(first_after(7), milliseconds(400));
    EXPECT_EQ(first_after(28), milliseconds(100));
    EXPECT_EQ(first_after(1.75), milliseconds(1600));
    load.unread = milliseconds(300);
    EXPECT_EQ(first_after(28), milliseconds(400));
    // Until a monitor tells, engines of a common size are assumed.
    EXPECT_EQ(first_after(0), milliseconds(700));
}

// The monitors of some engines are silent. What this gateway runs there is
// all that it knows, and other gateways send as much: such an engine must not
// look emptier the more gateways there are.
TEST_F(upstream_board_test, counts_other_gateways_where_no_load_is_told)
{
    put(record("a"));
    board.dispatched("a", 1000, at(0));
    placement_request request;
    request.engine_tokens = 10000;
    request.prompt_tokens = 1000;
    request.output_tokens = 200;
    const auto taken = [&](unsigned gateways) {
        request.gateways = gateways;
        return placement_of(*board.find("a"), request, at(0)).memory_taken;
    };
    EXPECT_DOUBLE_EQ(taken(1), 0.23);
    EXPECT_DOUBLE_EQ(taken(4), 0.56);
}

// This VM is cut off. The first request waits in vain for a connection; those
// behind it must not wait as well, and the upstream is tried again soon.
TEST_F(upstream_board_test, remembers_for_a_while_that_one_is_unreachable)
{
    put(record("a"));
    const auto unreachable = [&](int ms) {
        return placement_of(*board.find("a"), {}, at(ms)).unreachable;
    };
    EXPECT_FALSE(unreachable(0));
    board.unreached("a", at(0));
    EXPECT_TRUE(unreachable(599));
    EXPECT_FALSE(unreachable(600));
    board.unreached("a", at(700));
    board.reached("a");
    EXPECT_FALSE(unreachable(710));
}

TEST_F(upstream_board_test, forgives_failures_in_time)
{
    put(record("a"));
    board.failed("a", at(0));
    const auto rate = [&](int ms) {
        return placement_of(*board.find("a"), {}, at(ms)).failure_rate;
    };
    EXPECT_NEAR(rate(0), 0.15, 1e-9);
    EXPECT_NEAR(rate(2000), 0.075, 1e-9);
    EXPECT_LT(rate(20000), 0.001);
}

} // namespace
} // namespace cyclamenrun

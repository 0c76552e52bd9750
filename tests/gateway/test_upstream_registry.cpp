#include "upstream_registry.hpp"

#include <gtest/gtest.h>
#include <set>

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

struct upstream_registry_test : testing::Test {
    std::vector<std::string> leaving_ids;
    std::vector<std::string> erased_ids;
    std::vector<std::string> replaced_ids;
    std::set<std::string> said_leaving;
    upstream_registry registry{
        {[this](const std::string& id, std::optional<time_point>) {
             leaving_ids.push_back(id);
         },
         [this](const std::string& id) { erased_ids.push_back(id); },
         [this](const std::string& id) { replaced_ids.push_back(id); },
         [this](const std::string& id) { return said_leaving.contains(id); }}};

    void put(const upstream_record& entry, int ms = 0,
             bool after_outage = false)
    {
        registry.apply({entry.id, entry}, at(ms), after_outage);
    }
    void remove(const std::string& id, int ms = 0, bool after_outage = false)
    {
        registry.apply({id, std::nullopt}, at(ms), after_outage);
    }
    std::size_t usable() const { return registry.available("s").size(); }
};

// After a power loss of all gateways, the directory still lists engines that
// were reclaimed meanwhile, beside their successors at the same addresses. A
// gateway that used the old records would be rejected four times and refuse a
// request that any other engine would have served.
TEST_F(upstream_registry_test, uses_latest_upstream_at_an_address)
{
    auto predecessor = record("before");
    auto successor = record("after");
    successor.started_ms = 2;
    for (const bool newer_first : {true, false}) {
        put(newer_first ? successor : predecessor);
        put(newer_first ? predecessor : successor);
        ASSERT_EQ(usable(), 1U);
        EXPECT_EQ(registry.available("s").front()->record.id, "after");
        // A load report from that address belongs to the newer upstream.
        registry.update_load(successor.address, {}, at(0));
        EXPECT_TRUE(registry.find("after")->load);
        EXPECT_FALSE(registry.find("before")->load);
        remove("before");
        EXPECT_EQ(usable(), 1U);
        remove("after");
        EXPECT_EQ(usable(), 0U);
    }
    // The predecessor restarts under its id, which makes it the latest.
    put(successor);
    predecessor.started_ms = 3;
    put(predecessor);
    ASSERT_EQ(usable(), 1U);
    EXPECT_EQ(registry.available("s").front()->record.id, "before");
}

// Guards against requests that an engine's successor would reject: the
// directory lists the predecessor for seconds more, while the monitor knows
// better.
TEST_F(upstream_registry_test, uses_a_reported_engine_once_it_is_listed)
{
    put(record("before"));
    registry.update_identity(record("x").address, "after", at(0));
    EXPECT_EQ(usable(), 0U);
    EXPECT_EQ(registry.find_at(record("x").address)->record.id, "after");
    EXPECT_EQ(registry.services(), std::set<std::string>{"s"});
    registry.record_dispatch("after", 100, at(10));
    // The directory lists the same process with its own record.
    auto listed = record("after");
    listed.started_ms = 777;
    put(listed, 100);
    EXPECT_TRUE(erased_ids.empty());
    EXPECT_EQ(registry.find("after")->own_running, 1U);
    EXPECT_EQ(registry.find("after")->record, listed);
    // Late heartbeats of the predecessor have no effect.
    put(record("before"), 200);
    EXPECT_EQ(registry.available("s").front()->record.id, "after");
    remove("before", 300);
    EXPECT_EQ(usable(), 1U);
}

// Guards against requests of one service at an engine of another one that has
// got the address of an engine that is gone.
TEST_F(upstream_registry_test, takes_no_service_from_a_predecessor)
{
    put(record("before"));
    registry.update_identity(record("x").address, "after", at(0));
    registry.update_load(record("x").address, {}, at(10));
    EXPECT_EQ(usable(), 0U);
    auto listed = record("after");
    listed.service = "t";
    listed.started_ms = 2;
    put(listed, 100);
    EXPECT_EQ(usable(), 0U);
    ASSERT_EQ(registry.available("t").size(), 1U);
    EXPECT_EQ(registry.available("t").front()->record, listed);
}

// Guards against a version that belongs to the process before.
TEST_F(upstream_registry_test, knows_no_version_of_a_process_that_is_not_listed)
{
    auto before = record("before");
    before.version = "v1";
    put(before);
    registry.update_identity(before.address, "after", at(0));
    EXPECT_EQ(registry.find("after")->record.version, "");
    auto listed = record("after");
    listed.version = "v2";
    listed.started_ms = 2;
    put(listed);
    EXPECT_EQ(registry.find("after")->record.version, "v2");
    EXPECT_TRUE(replaced_ids.empty());
}

// Guards against an id that a process of another version uses again.
TEST_F(upstream_registry_test, takes_another_version_for_another_process)
{
    auto entry = record("a");
    put(entry);
    entry.version = "v1";
    put(entry);
    EXPECT_TRUE(replaced_ids.empty());
    entry.version = "v2";
    put(entry);
    EXPECT_EQ(replaced_ids, std::vector<std::string>{"a"});
}

// Guards against dropping a new engine: a snapshot of the directory that was
// made before the engine started lists only its predecessor.
TEST_F(upstream_registry_test, keeps_an_engine_newer_than_the_snapshot)
{
    put(record("before"));
    registry.update_identity(record("x").address, "after", at(0));
    registry.replace_all({{"before", record("before")}}, at(100), false);
    EXPECT_EQ(usable(), 0U);
    EXPECT_EQ(registry.find_at(record("x").address)->record.id, "after");
    auto listed = record("after");
    listed.started_ms = 2;
    put(listed, 200);
    ASSERT_EQ(usable(), 1U);
    EXPECT_EQ(registry.available("s").front()->record.id, "after");
}

// Guards against an engine that the directory never lists: it is removed, is
// not added again by the next report, and no longer supersedes the one that is.
TEST_F(upstream_registry_test, drops_an_engine_that_the_directory_does_not_list)
{
    put(record("before"));
    registry.update_identity(record("x").address, "after", at(0));
    registry.remove_unlisted(at(4900));
    EXPECT_NE(registry.find("after"), nullptr);
    registry.remove_unlisted(at(5000));
    EXPECT_EQ(registry.find("after"), nullptr);
    ASSERT_EQ(usable(), 1U);
    EXPECT_EQ(registry.available("s").front()->record.id, "before");
    put(record("other"), 5100);
    registry.update_identity(record("x").address, "after", at(5200));
    EXPECT_EQ(registry.available("s").front()->record.id, "other");
}

// An upstream drains without announcing it: its record is removed while it
// continues to serve and its monitor still reports it. The upstream must get no
// new work.
TEST_F(upstream_registry_test, ignores_monitor_reports_of_a_dropped_upstream)
{
    put(record("a"));
    registry.record_dispatch("a", 100, at(0));
    remove("a");
    put(record("next"));
    registry.update_identity(record("x").address, "a", at(10));
    ASSERT_EQ(usable(), 1U);
    EXPECT_EQ(registry.available("s").front()->record.id, "next");
}

// Guards against a process that ends by itself: an engine was listed at another
// address than its monitor had reported, and was removed; the next datagram
// about the first address found no engine and threw.
TEST_F(upstream_registry_test, forgets_where_a_listed_engine_was_reported)
{
    const auto reported_at = record("x", 80).address;
    put(record("before", 80));
    registry.update_identity(reported_at, "after", at(0));
    put(record("after", 81));
    EXPECT_EQ(registry.find_at(record("x", 81).address)->record.id, "after");
    EXPECT_EQ(registry.find_at(reported_at)->record.id, "before");
    remove("after");
    EXPECT_NO_THROW(registry.update_load(reported_at, {}, at(10)));
    EXPECT_EQ(usable(), 1U);
    EXPECT_NO_THROW(registry.update_identity(reported_at, "next", at(10)));
    EXPECT_EQ(registry.find_at(reported_at)->record.id, "next");
    EXPECT_EQ(usable(), 0U);
    // It is not listed in time.
    registry.remove_unlisted(at(5010));
    EXPECT_EQ(registry.find_at(reported_at)->record.id, "before");
    EXPECT_EQ(usable(), 1U);
}

TEST_F(upstream_registry_test, ignores_identities_for_unknown_addresses)
{
    registry.update_identity(record("x").address, "after", at(0));
    EXPECT_EQ(registry.size(), 0U);
    put(record("a", 80));
    put(record("b", 81));
    // "b" has another address, so the monitor's report does not apply to it.
    registry.update_identity(record("x", 80).address, "b", at(0));
    EXPECT_EQ(usable(), 2U);
    EXPECT_EQ(registry.find_at(record("x", 80).address)->record.id, "a");
}

TEST_F(upstream_registry_test, does_not_use_a_draining_upstream)
{
    put(record("a"));
    EXPECT_EQ(usable(), 1U);
    auto draining = record("a");
    draining.draining = true;
    put(draining);
    EXPECT_EQ(usable(), 0U);
    EXPECT_EQ(leaving_ids, std::vector<std::string>{"a"});
    put(draining);
    EXPECT_EQ(leaving_ids.size(), 1U);
    EXPECT_NE(registry.find("a"), nullptr);
}

// Some upstreams do not announce that they drain: their record is removed while
// they continue to serve. The requests that run there must be moved, not lost.
TEST_F(upstream_registry_test, keeps_a_removed_upstream_while_requests_run)
{
    put(record("a"));
    registry.record_dispatch("a", 100, at(0));
    remove("a");
    EXPECT_EQ(usable(), 0U);
    EXPECT_EQ(leaving_ids.size(), 1U);
    EXPECT_TRUE(erased_ids.empty());
    registry.record_completion("a");
    EXPECT_EQ(erased_ids, std::vector<std::string>{"a"});
}

// The directory was down for seconds and its records have expired, although the
// upstreams may be alive. If all were dropped at once, no request could be
// served; if all were kept, requests would go to upstreams that have died.
TEST_F(upstream_registry_test,
       keeps_unconfirmed_upstreams_for_a_while_after_an_outage)
{
    put(record("a"));
    put(record("b", 81));
    remove("a", 0, true);
    remove("b", 0, true);
    EXPECT_EQ(usable(), 2U);
    EXPECT_TRUE(registry.find("a")->unconfirmed_until);
    put(record("a"), 500);
    registry.remove_unlisted(at(1899));
    EXPECT_EQ(usable(), 2U);
    registry.remove_unlisted(at(1900));
    EXPECT_EQ(usable(), 1U);
    EXPECT_EQ(erased_ids, std::vector<std::string>{"b"});
}

TEST_F(upstream_registry_test, snapshot_drops_missing_upstreams)
{
    put(record("a"));
    put(record("b", 81));
    registry.replace_all({{"b", record("b", 81)}}, at(0), false);
    EXPECT_EQ(usable(), 1U);
    EXPECT_EQ(erased_ids, std::vector<std::string>{"a"});
}

// An upstream crashes and restarts under its id. The state of the old process
// (load, leaving, failure rate) must not be applied to the new one.
TEST_F(upstream_registry_test, restarted_process_has_fresh_state)
{
    put(record("a"));
    registry.record_failure("a", at(0));
    engine_load load;
    load.leaving = true;
    registry.update_load({"10.0.0.1", 80}, load, at(0));
    EXPECT_EQ(usable(), 0U);
    auto restarted = record("a");
    restarted.started_ms = 2;
    put(restarted);
    EXPECT_EQ(erased_ids, std::vector<std::string>{"a"});
    EXPECT_EQ(usable(), 1U);
    EXPECT_EQ(registry.find("a")->failure_rate, 0);
}

// Guards against new work for an upstream that has said that it leaves: the
// directory lists it as usable, again after its removal, or a monitor names it.
TEST_F(upstream_registry_test, what_an_upstream_says_of_leaving_stands)
{
    put(record("a"));
    said_leaving.insert("a");
    registry.record_leaving("a");
    EXPECT_EQ(leaving_ids, std::vector<std::string>{"a"});
    put(record("a"));
    EXPECT_EQ(usable(), 0U);
    remove("a");
    put(record("a"));
    EXPECT_EQ(usable(), 0U);
    EXPECT_TRUE(replaced_ids.empty());
    auto restarted = record("a");
    restarted.started_ms = 2;
    said_leaving.clear();
    put(restarted);
    EXPECT_EQ(replaced_ids, std::vector<std::string>{"a"});
    EXPECT_EQ(usable(), 1U);
}

// Guards against what is remembered of a process beyond its removal and binds
// another one that takes its id later.
TEST_F(upstream_registry_test, a_process_after_a_removed_one_replaces_it)
{
    put(record("a"));
    remove("a");
    ASSERT_EQ(erased_ids, std::vector<std::string>{"a"});
    EXPECT_TRUE(replaced_ids.empty());
    auto restarted = record("a");
    restarted.started_ms = 2;
    put(restarted);
    EXPECT_EQ(replaced_ids, std::vector<std::string>{"a"});
    put(restarted);
    EXPECT_EQ(replaced_ids.size(), 1U);
}

// Guards against a start that is not known to be one: an upstream that only a
// monitor has reported may be cold.
TEST_F(upstream_registry_test, reports_an_upstream_that_is_not_listed)
{
    std::vector<std::string> unlisted;
    upstream_registry::hooks on;
    on.unlisted = [&](const upstream_record& reported) {
        unlisted.push_back(reported.id);
        EXPECT_FALSE(reported.cold_until);
    };
    upstream_registry watched(std::move(on));
    auto listed = record("a");
    listed.cold_until = at(1000);
    watched.apply({"a", listed}, at(0), false);
    watched.update_identity(listed.address, "b", at(0));
    watched.update_identity(listed.address, "b", at(10));
    EXPECT_EQ(unlisted, std::vector<std::string>{"b"});
}

// Guards against a process that restarts under its id, or is listed again, and
// is taken for one to which nothing was sent.
TEST_F(upstream_registry_test, tells_new_ids_from_known_ones)
{
    std::vector<std::string> new_ids;
    upstream_registry::hooks on;
    upstream_registry* watched = nullptr;
    const auto note = [&](const upstream_record& found) {
        if (!watched->has_known(found.id))
            new_ids.push_back(found.id);
    };
    on.listed = note;
    on.unlisted = note;
    upstream_registry observed(std::move(on));
    watched = &observed;
    auto started = record("a");
    observed.apply({"a", started}, at(0), false);
    observed.apply({"a", started}, at(10), false);
    started.started_ms = 2;
    observed.apply({"a", started}, at(20), false);
    observed.apply({"a", std::nullopt}, at(30), false);
    observed.apply({"a", started}, at(40), false);
    observed.update_identity(started.address, "b", at(50));
    auto reported = record("b");
    reported.address = started.address;
    observed.apply({"b", reported}, at(60), false);
    EXPECT_EQ(new_ids, (std::vector<std::string>{"a", "b"}));
}

TEST_F(upstream_registry_test, load_report_marks_a_leaving_engine)
{
    put(record("a"));
    engine_load load;
    load.leaving = true;
    load.leaves_in_ms = 700;
    registry.update_load({"10.0.0.1", 80}, load, at(0));
    EXPECT_EQ(leaving_ids, std::vector<std::string>{"a"});
    EXPECT_EQ(registry.find("a")->leaves_at, at(700));
    // The directory is behind the engine's own report.
    put(record("a"));
    EXPECT_EQ(usable(), 0U);
}

TEST_F(upstream_registry_test,
       counts_own_dispatches_until_a_load_report_has_them)
{
    put(record("a"));
    placement_request request;
    request.objective = milliseconds(1000);
    request.engine_memory_tokens = 10000;
    request.from_domain = "d";
    engine_load idle;
    idle.memory_total = 10000;
    registry.update_load({"10.0.0.1", 80}, idle, at(0));
    registry.record_dispatch("a", 3500, at(10));
    const auto wait = [&](int ms) {
        return placement_of(*registry.find("a"), request, at(ms)).wait;
    };
    EXPECT_DOUBLE_EQ(wait(10), 0.5);
    // Measured before the dispatch could reach the engine.
    registry.update_load({"10.0.0.1", 80}, idle, at(20));
    EXPECT_DOUBLE_EQ(wait(20), 0.5);
    auto busy = idle;
    busy.running = 1;
    busy.prefill_backlog = milliseconds(250);
    registry.update_load({"10.0.0.1", 80}, busy, at(120));
    EXPECT_DOUBLE_EQ(wait(120), 0.25);
    registry.update_load({"10.0.0.1", 80}, idle, at(900));
    EXPECT_DOUBLE_EQ(wait(900), 0);
}

// Engines may prefill four times faster or slower than others. A gateway that
// assumed one speed would prefer slow engines with short queues, and callers
// would wait there. Each engine's monitor reports its prefill speed.
TEST_F(upstream_registry_test, uses_prefill_speed_reported_by_the_monitor)
{
    put(record("a"));
    placement_request request;
    request.objective = milliseconds(1000);
    request.engine_memory_tokens = 10000;
    request.prompt_tokens = 2800;
    engine_load load;
    load.memory_total = 10000;
    const auto time_to_first_part = [&](double speed) {
        load.prefill_tokens_per_ms = speed;
        registry.update_load({"10.0.0.1", 80}, load, at(0));
        return estimated_time_to_first_part(*registry.find("a"), request,
                                            at(0));
    };
    EXPECT_EQ(time_to_first_part(7), milliseconds(400));
    EXPECT_EQ(time_to_first_part(28), milliseconds(100));
    EXPECT_EQ(time_to_first_part(1.75), milliseconds(1600));
    load.prefill_backlog = milliseconds(300);
    EXPECT_EQ(time_to_first_part(28), milliseconds(400));
    // Without a reported speed the default speed is assumed.
    EXPECT_EQ(time_to_first_part(0), milliseconds(700));
}

// The monitors of some engines do not respond, so this gateway knows only its
// own requests there. The estimate must include the other gateways, or such an
// engine would seem emptier the more gateways there are.
TEST_F(upstream_registry_test, counts_other_gateways_without_a_load_report)
{
    put(record("a"));
    registry.record_dispatch("a", 1000, at(0));
    placement_request request;
    request.engine_memory_tokens = 10000;
    request.prompt_tokens = 1000;
    request.output_tokens = 200;
    const auto taken = [&](unsigned gateways) {
        request.gateways = gateways;
        return placement_of(*registry.find("a"), request, at(0)).memory_taken;
    };
    EXPECT_DOUBLE_EQ(taken(1), 0.23);
    EXPECT_DOUBLE_EQ(taken(4), 0.56);
}

// While this VM is cut off, the first request waits for a connection until it
// times out. Later requests must not wait as well, and the upstream must be
// tried again soon.
TEST_F(upstream_registry_test, marks_an_upstream_unreachable_for_a_while)
{
    put(record("a"));
    const auto unreachable = [&](int ms) {
        return placement_of(*registry.find("a"), {}, at(ms)).unreachable;
    };
    EXPECT_FALSE(unreachable(0));
    registry.record_connection_failure("a", at(0));
    EXPECT_TRUE(unreachable(599));
    EXPECT_FALSE(unreachable(600));
    registry.record_connection_failure("a", at(700));
    registry.record_connection_success("a");
    EXPECT_FALSE(unreachable(710));
}

TEST_F(upstream_registry_test, failure_rate_decays_over_time)
{
    put(record("a"));
    registry.record_failure("a", at(0));
    const auto rate = [&](int ms) {
        return placement_of(*registry.find("a"), {}, at(ms)).failure_rate;
    };
    EXPECT_NEAR(rate(0), 0.15, 1e-9);
    EXPECT_NEAR(rate(2000), 0.075, 1e-9);
    EXPECT_LT(rate(20000), 0.001);
}

} // namespace
} // namespace cyclamenrun

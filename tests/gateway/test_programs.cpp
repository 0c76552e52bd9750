#include "gateway_program.hpp"
#include "http_json.hpp"

#include <gmock/gmock.h>
#include <sstream>

namespace cyclamenrun::testing_support
{
namespace
{

TEST_F(gateway_program, follows_the_store)
{
    EXPECT_EQ(status_of("k2"), 401U);
    store.put("keyed.op", "config", configuration_text(2, "k2"));
    wait_for_answer("k2", 200);
    EXPECT_EQ(status_of("k1"), 401U);
    put_upstream("draining");
    wait_for_answer("k2", 503);
    put_upstream("ready");
    wait_for_answer("k2", 200);
}

// Records of another writer that can't be parsed must neither stop the reader
// nor shift its offset.
TEST_F(gateway_program, skips_unreadable_records_of_other_writers)
{
    store.put("keyed.servers", "i-2", "\xff\xfe garbage");
    store.put("keyed.op", "config", "{\"version\":\"seven\"}");
    store.put("keyed.op", "other", configuration_text(9, "k9"));
    store.put("keyed.op", "config", configuration_text(2, "k2"));
    wait_for_answer("k2", 200);
    EXPECT_EQ(status_of("k9"), 401U);
}

// The store is unavailable for longer than the lease, in each way in which it
// can fail, and then recovers. The gateway must refuse callers once its lease
// has ended, since a key may have been revoked, and serve again afterwards.
TEST_F(gateway_program, serves_until_its_lease_ends_and_again_afterwards)
{
    using fault_mode = fake_store::fault_mode;
    for (const auto failure : {fault_mode::unresponsive, fault_mode::busy,
                               fault_mode::disconnecting}) {
        store.set_fault_mode(failure);
        EXPECT_EQ(status_of("k1"), 200U);
        wait_for_answer("k1", 503);
        store.set_fault_mode(fault_mode::healthy);
        wait_for_answer("k1", 200);
    }
    EXPECT_TRUE(wait_for_log("directory_lost"));
    EXPECT_TRUE(wait_for_log("directory_regained"));
}

// A key is revoked while the store is unavailable, and the store deletes its
// history before it recovers: a reader that continues at its offset would miss
// the record.
TEST_F(gateway_program, rereads_all_when_the_history_is_gone)
{
    store.set_fault_mode(fake_store::fault_mode::busy);
    EXPECT_TRUE(wait_for_log("directory_lost"));
    store.put("keyed.op", "config", configuration_text(5, "k5"));
    store.put("keyed.op", "config", configuration_text(6, "k6"));
    store.drop_history();
    store.set_fault_mode(fake_store::fault_mode::healthy);
    wait_for_answer("k6", 200);
    EXPECT_EQ(status_of("k1"), 401U);
}

TEST_F(gateway_program, reloads_its_settings_on_a_signal)
{
    settings.write("name = 7\n");
    process->signal(SIGHUP);
    EXPECT_TRUE(wait_for_log("settings_unusable"));
    EXPECT_EQ(status_of("k1"), 200U);
    settings.write(gateway_settings_text(store));
    process->signal(SIGHUP);
    EXPECT_TRUE(wait_for_log("settings_reloaded"));
    EXPECT_EQ(status_of("k1"), 200U);
}

// The settings file names another store, and no signal is sent.
TEST_F(gateway_program, reloads_changed_settings_without_a_signal)
{
    fake_store other;
    other.put("keyed.op", "config", configuration_text(4, "k4"));
    other.put("keyed.servers", "i-1",
              R"({"service":"app","address":")" +
                  to_string(upstream.address()) +
                  R"(","zone":"d","slots":4,"state":"ready"})");
    settings.write(gateway_settings_text(other));
    EXPECT_TRUE(wait_for_log("settings_reloaded"));
    wait_for_answer("k4", 200);
    EXPECT_EQ(process->output().find("settings_unusable"), std::string::npos);
}

TEST_F(gateway_program, completes_running_requests_on_a_planned_stop)
{
    may_answer = false;
    test_caller caller(address);
    caller.send(request_text("k1"));
    upstream.wait_for(2);
    process->signal(SIGTERM);
    EXPECT_TRUE(wait_for_log("process_stopping"));
    may_answer = true;
    EXPECT_EQ(caller.read().status(), 200U);
    EXPECT_EQ(process->wait(), 0);
}

std::string metrics_of(const std::string& address)
{
    test_caller caller(address);
    caller.send("GET /metrics HTTP/1.1\r\nHost: g\r\n\r\n");
    return caller.read().body;
}

TEST_F(gateway_program, serves_its_metrics)
{
    EXPECT_EQ(status_of("k1"), 200U);
    EXPECT_EQ(status_of("k9"), 401U);
    const auto text = metrics_of(process->wait_for_listener("metrics"));
    using testing::HasSubstr;
    EXPECT_THAT(text, HasSubstr("cyclamenrun_requests_total{outcome="
                                "\"answered\",route=\"a\",service=\"app\"}"));
    EXPECT_THAT(text, HasSubstr("cyclamenrun_refusals_total{reason="
                                "\"unknown_key\"} 1"));
    EXPECT_THAT(text, HasSubstr("cyclamenrun_configuration_version 1"));
    EXPECT_THAT(text, HasSubstr("cyclamenrun_upstreams{service=\"app\"} 1"));
    EXPECT_THAT(text, HasSubstr("cyclamenrun_first_part_seconds_bucket"));
    EXPECT_THAT(text, HasSubstr("cyclamenrun_directory_call_seconds_count"));
}

// A record that can't be parsed is skipped, named in the log and counted in a
// metric, so that an engineer can find out why an upstream is missing.
TEST_F(gateway_program, reports_unreadable_records)
{
    store.put("keyed.servers", "i-7", R"({"service":7})");
    EXPECT_TRUE(wait_for_log(R"("event":"record_unreadable","name":"upstreams")"
                             R"(,"count":1,"detail":"i-7")"));
    EXPECT_THAT(metrics_of(process->wait_for_listener("metrics")),
                testing::HasSubstr("cyclamenrun_unreadable_records_total"
                                   "{feed=\"upstreams\"} 1"));
}

TEST_F(gateway_program, logs_when_its_lease_ends_and_is_renewed)
{
    store.set_fault_mode(fake_store::fault_mode::unresponsive);
    EXPECT_TRUE(wait_for_log("lease_ended"));
    store.set_fault_mode(fake_store::fault_mode::healthy);
    wait_for_answer("k1", 200);
    const auto log = process->output();
    EXPECT_NE(log.find("lease_renewed", log.find("lease_ended")),
              std::string::npos);
}

// Guards against a lease that ends while a gateway waits for its first
// upstream: it would serve nothing when that comes. The lease is shorter than
// the longest wait between two reads of the configuration.
TEST(idle_gateway, keeps_its_lease)
{
    fake_store store;
    store.put("keyed.op", "config", configuration_text(1, "k1"));
    auto text = gateway_settings_text(store);
    const std::string lease = "configuration_lease_ms = 1600";
    text.replace(text.find(lease), lease.size(),
                 "configuration_lease_ms = 3000");
    const temporary_settings_file settings(text);
    child_process process(
        "cyclamenrun-gateway",
        std::vector<std::string>{"--settings", settings.path()});
    process.wait_for_listener("ready");
    std::this_thread::sleep_for(milliseconds(5000));
    const auto log = process.output();
    EXPECT_NE(log.find("lease_renewed"), std::string::npos);
    EXPECT_EQ(log.find("lease_ended"), std::string::npos);
}

// Each log line must be JSON with the same four members, or the log collector
// drops it.
TEST_F(gateway_program, writes_only_json_lines)
{
    EXPECT_EQ(status_of("k1"), 200U);
    process->signal(SIGTERM);
    EXPECT_EQ(process->wait(), 0);
    std::istringstream log(process->output());
    int lines = 0;
    for (std::string line; std::getline(log, line); ++lines) {
        const auto record = parse_json_object(line);
        ASSERT_TRUE(record) << line;
        for (const auto* member : {"time", "severity", "process", "event"})
            EXPECT_TRUE(record->has(member)) << line;
        EXPECT_EQ(json_string(*record, "process"), "g");
    }
    EXPECT_GT(lines, 5);
    EXPECT_EQ(process->errors(), "");
}

} // namespace
} // namespace cyclamenrun::testing_support

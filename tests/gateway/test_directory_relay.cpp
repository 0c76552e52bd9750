#include "../support/free_port.hpp"
#include "../support/tcp_relay.hpp"
#include "fake_store.hpp"
#include "gateway_fixture.hpp"
#include "gateway_program.hpp"
#include "http_dialect.hpp"
#include "monitor_process.hpp"
#include "record_parser.hpp"
#include "relay_choice.hpp"
#include "store_feed.hpp"

#include <algorithm>
#include <atomic>
#include <gtest/gtest.h>
#include <memory>
#include <thread>
#include <vector>

namespace cyclamenrun::testing_support
{
namespace
{

constexpr std::chrono::seconds wait_timeout{10};
/** Age at which a configuration may not be used any more. */
constexpr milliseconds lease{4000};

std::string configuration(int version, const std::string& key)
{
    return "{\"version\":" + std::to_string(version) +
           R"(,"routes":[{"name":"a","host":"test.example",)"
           R"("path_prefix":"/a/","type":"idempotent","service":"app",)"
           R"("max_attempts":2,"timeout_ms":5000,"objective_ms":100}],)"
           R"("services":[{"name":"app"},{"name":"model","engine":)"
           R"({"slots":4,"kv_capacity":1000}}],"tenants":[{"name":"north",)"
           R"("api_keys":[")" +
           key + "\"]}]}";
}

std::string upstream(const std::string& service, const ip_endpoint& address,
                     const std::string& domain)
{
    return R"({"service":")" + service + R"(","address":")" +
           to_string(address) + R"(","zone":")" + domain +
           R"(","slots":4,"state":"ready"})";
}

/** An engine and its monitor on a separate loopback host. */
struct engine_host {
    engine_host(const std::string& host, std::uint16_t port,
                const std::string& store)
        : engine(
              [this](const arrived_request& request, upstream_reply& reply) {
                  reply.answer(request, 200,
                               std::string(R"({"queued":0,"active":0,)"
                                           R"("kv_used":0,"kv_total":99,)"
                                           R"("state":")") +
                                   (draining ? "draining" : "ready") + "\"}");
              },
              host)
    {
        monitor_settings settings;
        settings.listen = {host, port};
        settings.engine = engine.address();
        settings.directory = *parse_ip_endpoint(store);
        monitor = std::make_unique<monitor_process>(
            settings,
            monitor_platform{std::make_shared<platform::http_dialect>(),
                             platform::make_relay_feeds});
    }

    /** The engine reports that it is draining. */
    std::atomic<bool> draining = false;
    fake_upstream engine;
    std::unique_ptr<monitor_process> monitor;
};

/**
 * A store, two engines whose monitors relay it to gateways, an application,
 * and the gateways that a test starts. The connections of the gateways and
 * those of the monitors to the store can be cut separately.
 */
class relayed_directory : public testing::Test
{
protected:
    relayed_directory()
        : port(free_port()),
          app([](const arrived_request& request, upstream_reply& reply) {
              reply.answer(request, 200, "hello");
          })
    {
        store.put("keyed.op", "config", configuration(1, "k1"));
        store.put("keyed.servers", "app-1",
                  upstream("app", app.address(), "d1"));
        for (const auto* host : {"127.0.0.2", "127.0.0.3"})
            add_engine(host);
    }

    void add_engine(const std::string& host)
    {
        engines.push_back(
            std::make_unique<engine_host>(host, port, monitors_path.address()));
        store.put("keyed.servers", "engine-" + host,
                  upstream("model", engines.back()->engine.address(),
                           "domain-" + host));
    }

    /**
     * Starts a gateway and waits until it serves and, if `with_relays`, until
     * monitors read the store for it.
     */
    gateway_process& start_gateway(bool with_relays = true)
    {
        gateway_settings settings;
        settings.name = "gateway-" + std::to_string(gateways.size());
        settings.failure_domain = "d1";
        settings.listen = {"127.0.0.1", 0};
        settings.ready_listen = {"127.0.0.1", 0};
        settings.balancer_wait = milliseconds(50);
        settings.directory = *parse_ip_endpoint(gateways_path.address());
        settings.configuration_lease = lease;
        settings.configuration_wait = milliseconds(300);
        settings.loads_listen = {"127.0.0.1", free_port()};
        settings.monitor_port = port;
        gateway_platform platform;
        platform.dialect = std::make_shared<platform::http_dialect>();
        platform.configurations = platform::make_configuration_feed;
        platform.upstreams = platform::make_upstream_feed;
        platform.read_configuration = platform::read_configuration;
        gateways.push_back(
            std::make_unique<gateway_process>(settings, platform, [settings] {
                return settings_outcome<gateway_settings>(settings);
            }));
        EXPECT_TRUE(eventually_answers(*gateways.back(), "k1", 200));
        EXPECT_TRUE(!with_relays ||
                    eventually([&] { return uses_relays(*gateways.back()); }));
        return *gateways.back();
    }

    /** Whether the last read of each feed went through a monitor. */
    bool uses_relays(gateway_process& gateway)
    {
        return state_of(gateway).find("\"relayed\":true") != std::string::npos;
    }

    std::string state_of(gateway_process& gateway)
    {
        test_caller caller(gateway.ready_address());
        caller.send("GET /state HTTP/1.1\r\nHost: x\r\n\r\n");
        return caller.read().body;
    }

    template <typename Condition>
    static bool eventually(Condition condition,
                           milliseconds within = wait_timeout)
    {
        const auto deadline = steady_now() + within;
        while (steady_now() < deadline) {
            if (condition())
                return true;
            std::this_thread::sleep_for(milliseconds(10));
        }
        return condition();
    }

    unsigned status_of(gateway_process& gateway, const std::string& key)
    {
        test_caller caller(gateway.address());
        caller.send("GET /a/x HTTP/1.1\r\nHost: test.example\r\nAttempt-Id: r" +
                    std::to_string(++last_id) + "\r\nAuthorization: Bearer " +
                    key + "\r\nDeadline-Ms: 4000\r\n\r\n");
        return caller.read().status();
    }

    bool eventually_answers(gateway_process& gateway, const std::string& key,
                            unsigned status)
    {
        return eventually([&] { return status_of(gateway, key) == status; });
    }

    /**
     * Checks that the gateway serves without a gap for longer than its lease.
     */
    void expect_served_beyond_lease(gateway_process& gateway)
    {
        const auto end = steady_now() + lease + milliseconds(1500);
        while (steady_now() < end) {
            ASSERT_EQ(status_of(gateway, "k1"), 200U);
            std::this_thread::sleep_for(milliseconds(20));
        }
    }

    fake_store store;
    tcp_relay gateways_path{store.address()};
    tcp_relay monitors_path{store.address()};
    std::uint16_t port;
    fake_upstream app;
    std::vector<std::unique_ptr<engine_host>> engines;
    std::vector<std::unique_ptr<gateway_process>> gateways;
    int last_id = 0; ///< of the requests so far
};

// Guards against a load on the store that grows with the number of gateways: a
// hundred gateways that each poll the store are its largest load. Two monitors
// read it for all gateways.
TEST_F(relayed_directory, costs_no_more_calls_for_more_gateways)
{
    constexpr std::size_t fleet = 12;
    for (std::size_t i = 0; i < fleet; ++i)
        start_gateway();
    constexpr double seconds = 2;
    const auto before = store.calls();
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    const auto calls = static_cast<double>(store.calls() - before);
    // Each of two relays reads the configurations every 0.3 s and the upstreams
    // every 0.45 s. A single gateway without relays makes 3.3 and 1.1 calls a
    // second.
    EXPECT_LT(calls / seconds, 24);
    EXPECT_GT(calls, 0);
}

TEST_F(relayed_directory, relays_changes_to_all_gateways)
{
    auto& first = start_gateway();
    auto& second = start_gateway();
    store.put("keyed.op", "config", configuration(2, "k2"));
    for (auto* gateway : {&first, &second}) {
        EXPECT_TRUE(eventually_answers(*gateway, "k2", 200));
        EXPECT_EQ(status_of(*gateway, "k1"), 401U);
    }
    store.put("keyed.servers", "app-1", "");
    for (auto* gateway : {&first, &second})
        EXPECT_TRUE(eventually_answers(*gateway, "k2", 503));
}

// Guards against refused callers when only this gateway's VM loses the store.
// The monitors confirm its configuration and still report a revoked key.
TEST_F(relayed_directory, keeps_serving_while_only_the_gateway_is_cut_off)
{
    auto& gateway = start_gateway();
    gateways_path.stall(relay_direction::to_target);
    expect_served_beyond_lease(gateway);
    store.put("keyed.op", "config", configuration(2, "k2"));
    EXPECT_TRUE(eventually_answers(gateway, "k1", 401));
    EXPECT_EQ(status_of(gateway, "k2"), 200U);
}

// Guards against a lease that ends while the relays are cut off from the store.
// The relays notice it late, as their calls stay unanswered; the gateway must
// read the store itself in time.
TEST_F(relayed_directory, keeps_serving_while_the_relays_are_cut_off)
{
    auto& gateway = start_gateway();
    monitors_path.stall(relay_direction::to_target);
    expect_served_beyond_lease(gateway);
    monitors_path.cut();
    expect_served_beyond_lease(gateway);
}

// Both VMs whose monitors relay the store lose power at once.
TEST_F(relayed_directory, keeps_serving_when_the_relays_have_failed)
{
    auto& gateway = start_gateway();
    engines.clear();
    expect_served_beyond_lease(gateway);
}

// Guards against a burst of calls to the store when the VMs of both relays are
// reclaimed at once, from gateways that read the store themselves until other
// monitors respond.
TEST_F(relayed_directory, uses_other_monitors_when_both_relays_leave)
{
    add_engine("127.0.0.4");
    add_engine("127.0.0.5");
    std::vector<relay_candidate> candidates;
    for (const auto& each : engines) {
        const auto host = each->engine.address().host;
        candidates.push_back({host, "domain-" + host});
    }
    constexpr std::size_t fleet = 6;
    for (std::size_t i = 0; i < fleet; ++i)
        start_gateway();
    const auto relays = choose_relays(candidates, "gateway-0", 2);
    const auto direct_calls = [&] { return gateways_path.client_reads(); };
    const auto before = direct_calls();
    for (const auto& each : engines)
        each->draining = std::find(relays.begin(), relays.end(),
                                   each->engine.address().host) != relays.end();
    std::this_thread::sleep_for(milliseconds(1500));
    EXPECT_LT(direct_calls() - before, fleet);
    store.put("keyed.op", "config", configuration(2, "k2"));
    for (const auto& gateway : gateways)
        EXPECT_TRUE(eventually_answers(*gateway, "k2", 200));
}

// Guards against a revoked key that stays in use while the gateway and the
// monitors are cut off from the store together: monitors must not renew a lease
// from what they have cached.
TEST_F(relayed_directory, ends_the_lease_when_gateway_and_relays_are_cut_off)
{
    auto& gateway = start_gateway();
    gateways_path.stall(relay_direction::to_target);
    monitors_path.stall(relay_direction::to_target);
    const auto revoked_at = steady_now();
    store.put("keyed.op", "config", configuration(2, "k2"));
    EXPECT_TRUE(eventually_answers(gateway, "k1", 503));
    EXPECT_LT(steady_now() - revoked_at, lease);
    std::this_thread::sleep_for(milliseconds(300));
    EXPECT_EQ(status_of(gateway, "k1"), 503U);
    gateways_path.cut();
    monitors_path.cut();
    gateways_path.heal();
    monitors_path.heal();
    EXPECT_TRUE(eventually_answers(gateway, "k2", 200));
    EXPECT_EQ(status_of(gateway, "k1"), 401U);
}

// Guards against a fleet that floods an unavailable store with retries. Without
// a common limit each gateway calls it ten times or more during the outage.
TEST_F(relayed_directory, limits_calls_to_an_unavailable_store)
{
    constexpr std::size_t fleet = 8;
    for (std::size_t i = 0; i < fleet; ++i)
        start_gateway();
    store.set_fault_mode(fake_store::fault_mode::busy);
    std::this_thread::sleep_for(milliseconds(300));
    const auto before = store.calls();
    constexpr double seconds = 3;
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    // A gateway tries each feed at most every 2 s, and a relay tries each feed
    // every 0.4 s.
    const auto bound = fleet * 2 * (seconds / 2 + 1) + 2 * 2 * seconds / 0.4;
    EXPECT_LE(static_cast<double>(store.calls() - before), bound);
    store.set_fault_mode(fake_store::fault_mode::healthy);
    const auto back_at = steady_now();
    for (const auto& gateway : gateways)
        EXPECT_TRUE(eventually_answers(*gateway, "k1", 200));
    EXPECT_LT(steady_now() - back_at, milliseconds(2000));
}

// Guards against start-up timeouts with thousands of upstreams, which come in
// many pages: gateways that start together and each read all pages slow one
// another down beyond any timeout. Each reads the first page, which names a
// monitor, and one monitor reads the rest.
TEST_F(relayed_directory, reads_a_long_directory_once_for_all)
{
    constexpr int others = 60;
    for (int i = 0; i < others; ++i)
        store.put(
            "keyed.servers", "z-other-" + std::to_string(100 + i),
            upstream("other", {"10.0.0.1", std::uint16_t(1000 + i)}, "d"));
    store.set_page_size(4);
    constexpr std::size_t fleet = 6;
    for (std::size_t i = 0; i < fleet; ++i)
        start_gateway();
    for (const auto& gateway : gateways)
        EXPECT_TRUE(eventually([&] {
            return state_of(*gateway).find("\"upstreams\":63,") !=
                   std::string::npos;
        }));
    // Without relays each gateway reads sixteen pages. With them each reads
    // one, and one or two relays read sixteen.
    EXPECT_LE(store.count_of("/log-newest?topic=keyed.servers"),
              fleet + 2 * 17);
}

// The monitors do not respond, so the gateway reads all pages itself.
TEST_F(relayed_directory, reads_a_long_directory_itself_without_relays)
{
    store.set_page_size(1);
    engines.clear();
    start_gateway(false);
    EXPECT_TRUE(eventually([&] {
        return state_of(*gateways.back()).find("\"upstreams\":3,") !=
               std::string::npos;
    }));
}

// Guards against gateways that learn of an evacuation only with the next
// configuration, or not at all: the relays drop what is no configuration.
TEST_F(relayed_directory, relays_evacuations_to_all_gateways)
{
    auto& first = start_gateway();
    auto& second = start_gateway();
    store.put("keyed.op", "evacuate/d1", "1");
    for (auto* gateway : {&first, &second})
        EXPECT_TRUE(eventually_answers(*gateway, "k1", 503));
    store.put("keyed.op", "evacuate/d1", "");
    for (auto* gateway : {&first, &second})
        EXPECT_TRUE(eventually_answers(*gateway, "k1", 200));
}

// Guards against a gateway that misses an evacuation while its VM is cut off
// from the store: its relays are not.
TEST_F(relayed_directory, relays_evacuations_to_a_gateway_that_is_cut_off)
{
    auto& gateway = start_gateway();
    gateways_path.stall(relay_direction::to_target);
    store.put("keyed.op", "evacuate/d1", "1");
    EXPECT_TRUE(eventually_answers(gateway, "k1", 503));
    store.put("keyed.op", "evacuate/d1", "");
    EXPECT_TRUE(eventually_answers(gateway, "k1", 200));
}

// Guards against a restarted gateway that does not know what was evacuated
// before, and against relays that forget it with the history.
TEST_F(relayed_directory, tells_evacuations_to_a_gateway_that_starts)
{
    const auto knows = [this](gateway_process& gateway,
                              const std::string& list) {
        return eventually([&] {
            return state_of(gateway).find("\"evacuated_domains\":" + list) !=
                   std::string::npos;
        });
    };
    auto& first = start_gateway();
    store.put("keyed.op", "evacuate/domain-127.0.0.2", "1");
    store.put("keyed.op", "evacuate/elsewhere", "1");
    EXPECT_TRUE(knows(first, R"(["domain-127.0.0.2","elsewhere"])"));
    EXPECT_TRUE(knows(start_gateway(), R"(["domain-127.0.0.2","elsewhere"])"));
    store.set_fault_mode(fake_store::fault_mode::busy);
    store.put("keyed.op", "evacuate/elsewhere", "");
    store.drop_history();
    store.set_fault_mode(fake_store::fault_mode::healthy);
    for (const auto& gateway : gateways)
        EXPECT_TRUE(knows(*gateway, R"(["domain-127.0.0.2"])"));
    EXPECT_TRUE(knows(start_gateway(), R"(["domain-127.0.0.2"])"));
}

// Guards against a lost change when the store deletes its history while relays
// and gateways are at different offsets.
TEST_F(relayed_directory, rereads_all_when_the_history_is_gone)
{
    auto& gateway = start_gateway();
    store.set_fault_mode(fake_store::fault_mode::busy);
    store.put("keyed.op", "config", configuration(5, "k5"));
    store.put("keyed.op", "config", configuration(6, "k6"));
    store.drop_history();
    store.set_fault_mode(fake_store::fault_mode::healthy);
    EXPECT_TRUE(eventually_answers(gateway, "k6", 200));
    EXPECT_EQ(status_of(gateway, "k1"), 401U);
}

} // namespace
} // namespace cyclamenrun::testing_support

#include "../support/sanitizer.hpp"
#include "caller_surge.hpp"
#include "gateway_program.hpp"
#include "surge_watchers.hpp"

#include <algorithm>
#include <ctime>
#include <deque>
#include <iostream>
#include <sys/resource.h>

namespace cyclamenrun::testing_support
{
namespace
{

constexpr int stream_events = 40;
constexpr milliseconds event_interval{50};
/**
 * Processor time of a request over that in a build without a sanitizer. Under
 * the thread sanitizer 1.1 ms were measured, so that the usual 50 requests a
 * second take more than a share of 0.05.
 */
constexpr double slowdown = sanitized ? 4 : 1;

std::string cpu_share_row(double share)
{
    return "cpu_share = " + std::to_string(share * slowdown) + "\n";
}

/** Gateway programs before one upstream, which runs in the test. */
class connection_surges : public testing::Test
{
protected:
    struct running_gateway {
        std::unique_ptr<child_process> process;
        std::string ready_address;
        std::string address; ///< for callers
    };

    connection_surges()
        : upstream([this](const arrived_request& request,
                          upstream_reply& reply) { answer(request, reply); })
    {
        // An objective that a slow upstream does not miss: upstreams that do
        // are avoided.
        store.put("keyed.op", "config",
                  R"({"version":1,"routes":[{"name":"a","host":)"
                  R"("test.example","path_prefix":"/a/","type":"idempotent",)"
                  R"("service":"app","max_attempts":1,"timeout_ms":8000,)"
                  R"("objective_ms":6000},{"name":"s","host":"test.example",)"
                  R"("path_prefix":"/s/","type":"streaming","service":"app",)"
                  R"("timeout_ms":8000}],"services":[{"name":"app"}],)"
                  R"("tenants":[{"name":"north","api_keys":["k1"]}]})");
        store.put("keyed.servers", "i-1",
                  R"({"service":"app","address":")" +
                      to_string(upstream.address()) +
                      R"(","zone":"d","slots":100000,"version":"v1",)"
                      R"("state":"ready"})");
    }
    ~connection_surges() override { may_answer = true; }

    void answer(const arrived_request& request, upstream_reply& reply)
    {
        if (request.head.target.starts_with("/s/")) {
            reply.begin_stream(request);
            for (int id = 1; id <= stream_events; ++id) {
                reply.event(id);
                std::this_thread::sleep_for(event_interval);
            }
            reply.end_stream();
            return;
        }
        while (!may_answer)
            std::this_thread::sleep_for(milliseconds(5));
        reply.answer(request, 200, "hello");
    }

    /** Starts a gateway with these rows of its table `limits`. */
    running_gateway& start(const std::string& limits)
    {
        settings.write(settings_text_without_lease(store) + "[limits]\n" +
                       limits);
        running_gateway started;
        started.process = std::make_unique<child_process>(
            "cyclamenrun-gateway",
            std::vector<std::string>{"--settings", settings.path()});
        started.ready_address = started.process->wait_for_listener("ready");
        started.address = started.process->wait_until_ready();
        gateways.push_back(std::move(started));
        wait_until_served(gateways.back());
        return gateways.back();
    }

    /**
     * Waits until the gateway serves and is not under pressure: starting takes
     * more processor time than the small shares of these tests.
     */
    void wait_until_served(const running_gateway& asked)
    {
        const auto deadline = steady_now() + std::chrono::seconds(20);
        while (!serves_at_ease(asked) && steady_now() < deadline)
            std::this_thread::sleep_for(milliseconds(100));
    }

    bool serves_at_ease(const running_gateway& asked)
    {
        try {
            test_caller caller(asked.address);
            caller.send(request_text());
            const auto answer = caller.read();
            return answer.status() == 200 && answer.field("Connection").empty();
        } catch (const Poco::Exception&) {
            return false;
        }
    }

    std::string request_text(const std::string& path = "/a/x")
    {
        return "GET " + path +
               " HTTP/1.1\r\nHost: test.example\r\nAttempt-Id: r" +
               std::to_string(++last_id) +
               "\r\nAuthorization: Bearer k1\r\nDeadline-Ms: 9000\r\n\r\n";
    }
    std::function<std::string()> requests()
    {
        return [this] { return request_text(); };
    }

    /** Status of a request on a new connection; 0: closed without an answer. */
    unsigned status_at(const running_gateway& asked)
    {
        try {
            test_caller caller(asked.address);
            caller.send(request_text());
            return caller.read().status();
        } catch (const Poco::Exception&) {
            return 0;
        }
    }

    /** Opens connections on which nothing is sent. */
    static std::vector<std::unique_ptr<test_caller>>
    silent_callers(const running_gateway& asked, std::size_t count)
    {
        std::vector<std::unique_ptr<test_caller>> callers(count);
        for (auto& caller : callers)
            caller = std::make_unique<test_caller>(asked.address);
        return callers;
    }

    void expect_usual_load_is_served(const running_gateway& asked)
    {
        for (int i = 0; i < 30; ++i) {
            EXPECT_EQ(status_at(asked), 200U) << i;
            std::this_thread::sleep_for(milliseconds(20));
        }
    }

    static std::string all_events()
    {
        std::string text;
        for (int id = 1; id <= stream_events; ++id)
            text += event_text(id);
        return text;
    }

    /** Processor time that a process has used. */
    static duration processor_time(const running_gateway& asked)
    {
        clockid_t clock{};
        timespec used{};
        if (::clock_getcpuclockid(asked.process->pid(), &clock) != 0 ||
            ::clock_gettime(clock, &used) != 0)
            return {};
        return std::chrono::seconds(used.tv_sec) +
               std::chrono::nanoseconds(used.tv_nsec);
    }

    static std::size_t open_descriptors(const running_gateway& asked)
    {
        const std::filesystem::directory_iterator files(
            "/proc/" + std::to_string(asked.process->pid()) + "/fd");
        return static_cast<std::size_t>(
            std::distance(begin(files), end(files)));
    }

    fake_store store;
    std::atomic<bool> may_answer = true; ///< the upstream, other than streams
    fake_upstream upstream;
    temporary_settings_file settings{""};
    std::deque<running_gateway> gateways;
    std::atomic<int> last_id = 0; ///< of the requests so far
};

caller_surge::plan surge_at(const std::vector<std::string>& gateways,
                            std::size_t callers, double callers_per_s)
{
    caller_surge::plan plan;
    plan.gateways = gateways;
    plan.callers = callers;
    plan.callers_per_s = callers_per_s;
    return plan;
}

std::size_t unread_at(const surge_result& result, const std::string& gateway)
{
    const auto found = result.unread.find(gateway);
    return found == result.unread.end() ? 0 : found->second;
}

// Guards against a gateway that reads more than it can serve: requests that
// were read fail, and streams, kept connections and readiness suffer.
TEST_F(connection_surges, are_closed_unread_beyond_the_share_of_a_core)
{
    const auto& gateway = start(cpu_share_row(0.05));
    readiness_checks readiness(gateway.ready_address);
    kept_caller kept(gateway.address, requests());
    test_caller stream(gateway.address);
    stream.send(request_text("/s/x"));
    ASSERT_TRUE(stream.wait_for_body(event_text(1)));
    caller_surge surge(surge_at({gateway.address}, 3000, 1500), requests());
    const auto result = surge.run();
    kept.stop();
    readiness.stop();
    // Each request that was read was served.
    ASSERT_EQ(result.answers.size(), 1U);
    EXPECT_GT(result.answers.at(200), 50U);
    EXPECT_GT(result.given_up, 500U);
    EXPECT_EQ(result.answers.at(200) + result.given_up, 3000U);
    EXPECT_EQ(stream.read().body, all_events());
    EXPECT_GT(kept.requests(), 10);
    EXPECT_EQ(kept.failures(), 0);
    EXPECT_GT(readiness.checks(), 10);
    EXPECT_EQ(readiness.misses(), 0);
    std::this_thread::sleep_for(milliseconds(1500));
    expect_usual_load_is_served(gateway);
}

// Guards against limits that hold where none are set, and against limits that
// turn away what the process can serve.
TEST_F(connection_surges, are_served_where_there_is_no_limit)
{
    const auto& unlimited = start("");
    const auto& ample = start("cpu_share = 7\nmax_fds = 15000\n");
    for (const auto* gateway : {&unlimited, &ample}) {
        caller_surge surge(surge_at({gateway->address}, 1000, 500), requests());
        const auto result = surge.run();
        EXPECT_EQ(result.answers.at(200), 1000U);
        EXPECT_EQ(result.unread.size(), 0U);
    }
}

// Guards against a surge that costs requests when the balancer sends it to the
// next gateway: callers that were closed unread are served by the other one.
TEST_F(connection_surges, move_from_gateway_to_gateway)
{
    start("cpu_share = 0.08\n");
    start("cpu_share = 0.08\n");
    readiness_checks first_readiness(gateways[0].ready_address);
    readiness_checks second_readiness(gateways[1].ready_address);
    std::vector<std::string> order{gateways[0].address, gateways[1].address};
    for (int phase = 0; phase < 2; ++phase) {
        auto plan = surge_at(order, 600, 600);
        plan.max_attempts = 10000;
        plan.answer_time = std::chrono::seconds(60);
        caller_surge surge(plan, requests());
        const auto result = surge.run();
        EXPECT_EQ(result.answers.at(200), 600U);
        EXPECT_EQ(result.answers.size(), 1U);
        EXPECT_EQ(result.broken, 0U);
        EXPECT_GT(unread_at(result, order.front()), 0U);
        std::reverse(order.begin(), order.end());
    }
    EXPECT_EQ(first_readiness.misses(), 0);
    EXPECT_EQ(second_readiness.misses(), 0);
}

// Guards against requests that are lost when a gateway is stopped in a surge.
TEST_F(connection_surges, cost_no_request_of_a_gateway_that_drains)
{
    start("cpu_share = 0.08\n");
    start("cpu_share = 0.2\n");
    test_caller stream(gateways[0].address);
    stream.send(request_text("/s/x"));
    ASSERT_TRUE(stream.wait_for_body(event_text(1)));
    std::thread stop([this] {
        std::this_thread::sleep_for(milliseconds(700));
        gateways[0].process->signal(SIGTERM);
    });
    may_answer = true;
    auto plan = surge_at({gateways[0].address, gateways[1].address}, 1000, 600);
    plan.max_attempts = 10000;
    plan.answer_time = std::chrono::seconds(60);
    caller_surge surge(plan, requests());
    const auto result = surge.run();
    stop.join();
    EXPECT_EQ(result.answers.at(200), 1000U);
    EXPECT_EQ(result.answers.size(), 1U);
    EXPECT_EQ(result.broken, 0U);
    EXPECT_EQ(stream.read().body, all_events());
    EXPECT_EQ(gateways[0].process->wait(), 0);
}

// Guards against a process that runs out of descriptors while its upstream is
// slow: it takes as many connections as it has descriptors for, and serves
// these, its kept connections and its streams.
TEST_F(connection_surges, leave_descriptors_while_the_upstream_is_slow)
{
    const auto& gateway = start("max_fds = 400\n");
    readiness_checks readiness(gateway.ready_address);
    test_caller kept(gateway.address);
    kept.send(request_text());
    EXPECT_EQ(kept.read().status(), 200U);
    test_caller stream(gateway.address);
    stream.send(request_text("/s/x"));
    ASSERT_TRUE(stream.wait_for_body(event_text(1)));
    may_answer = false;
    std::size_t most_descriptors = 0;
    std::thread end([&] {
        for (int i = 0; i < 25; ++i) {
            std::this_thread::sleep_for(milliseconds(100));
            most_descriptors =
                std::max(most_descriptors, open_descriptors(gateway));
        }
        may_answer = true;
    });
    caller_surge surge(surge_at({gateway.address}, 1000, 500), requests());
    const auto result = surge.run();
    end.join();
    ASSERT_EQ(result.answers.size(), 1U);
    EXPECT_GT(result.answers.at(200), 60U);
    EXPECT_LT(result.answers.at(200), 110U);
    EXPECT_EQ(result.answers.at(200) + result.given_up, 1000U);
    EXPECT_LT(most_descriptors, 260U);
    EXPECT_EQ(readiness.misses(), 0);
    EXPECT_EQ(stream.read().body, all_events());
    kept.send(request_text());
    EXPECT_EQ(kept.read().status(), 200U);
    expect_usual_load_is_served(gateway);
    const auto log = gateway.process->output();
    EXPECT_NE(log.find(R"("event":"connections_refused","reason":)"
                       R"("descriptors")"),
              std::string::npos);
}

// Guards against descriptors that idle connections of a surge keep: under
// pressure a connection closes after its first answer, a kept one does not.
TEST_F(connection_surges, leave_no_idle_connections_under_pressure)
{
    const auto& gateway = start("max_fds = 400\n");
    test_caller kept(gateway.address);
    kept.send(request_text());
    EXPECT_EQ(kept.read().field("Connection"), "");
    const auto silent = silent_callers(gateway, 60);
    test_caller later(gateway.address);
    later.send(request_text());
    EXPECT_EQ(later.read().field("Connection"), "close");
    kept.send(request_text());
    EXPECT_EQ(kept.read().field("Connection"), "");
}

// Guards against a process without free descriptors that spins, leaves callers
// waiting or stops what runs.
TEST_F(connection_surges, are_rejected_when_no_descriptor_is_free)
{
    const auto& gateway = start("max_fds = 2000\n");
    test_caller kept(gateway.address);
    kept.send(request_text());
    EXPECT_EQ(kept.read().status(), 200U);
    test_caller stream(gateway.address);
    stream.send(request_text("/s/x"));
    ASSERT_TRUE(stream.wait_for_body(event_text(1)));
    rlimit limit{};
    ::prlimit(gateway.process->pid(), RLIMIT_NOFILE, nullptr, &limit);
    const auto before = limit;
    limit.rlim_cur = open_descriptors(gateway) + 10;
    ::prlimit(gateway.process->pid(), RLIMIT_NOFILE, &limit, nullptr);
    auto silent = silent_callers(gateway, 20);
    const auto used = processor_time(gateway);
    const auto began = steady_now();
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(status_at(gateway), 0U);
        std::this_thread::sleep_for(milliseconds(50));
    }
    EXPECT_LT(processor_time(gateway) - used, (steady_now() - began) / 2);
    kept.send(request_text());
    EXPECT_EQ(kept.read().status(), 200U);
    EXPECT_EQ(stream.read().body, all_events());
    silent.clear();
    wait_until_served(gateway);
    EXPECT_EQ(status_at(gateway), 200U);
    ::prlimit(gateway.process->pid(), RLIMIT_NOFILE, &before, nullptr);
}

// Measures, for docs/CAPACITY.md, the processor time of a new connection with
// one request and of one that is closed unread.
TEST_F(connection_surges, cost_little_processor_time)
{
    const auto cost_at = [this](const running_gateway& asked,
                                std::size_t callers, double callers_per_s) {
        const auto before = processor_time(asked);
        const auto began = steady_now();
        caller_surge surge(surge_at({asked.address}, callers, callers_per_s),
                           requests());
        const auto result = surge.run();
        const std::chrono::duration<double, std::micro> used =
            processor_time(asked) - before;
        const std::chrono::duration<double> took = steady_now() - began;
        std::cout << callers_per_s << "/s asked, "
                  << static_cast<double>(callers) / took.count() << "/s ended, "
                  << result.given_up << " closed unread, "
                  << used.count() / static_cast<double>(callers)
                  << " us each\n";
        return used.count() / static_cast<double>(callers);
    };
    const auto& reading = start("");
    EXPECT_LT(cost_at(reading, 2000, 200), 20000);
    EXPECT_LT(cost_at(reading, 2000, 1000), 20000);
    EXPECT_LT(cost_at(reading, 3000, 6000), 20000);
    const auto& closing = start("max_fds = 20\n");
    const auto silent = silent_callers(closing, 10);
    EXPECT_LT(cost_at(closing, 2000, 1000), 20000);
}

} // namespace
} // namespace cyclamenrun::testing_support

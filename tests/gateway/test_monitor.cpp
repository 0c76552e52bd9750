#include "fake_upstream.hpp"
#include "http_dialect.hpp"
#include "link_loop.hpp"
#include "load.pb.h"
#include "monitor_link.hpp"
#include "monitor_process.hpp"

#include <condition_variable>
#include <gtest/gtest.h>
#include <mutex>

namespace cyclamenrun::testing_support
{
namespace
{

constexpr std::chrono::seconds limit{10};

/** The reports that a gateway received; the test can wait for them. */
class received_reports
{
public:
    void add(std::string what)
    {
        const std::scoped_lock lock(mutex_);
        lines_.push_back(std::move(what));
        changed_.notify_all();
    }

    bool wait_for(const std::string& what)
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, limit, [&] {
            return std::find(lines_.begin(), lines_.end(), what) !=
                   lines_.end();
        });
    }

    std::size_t count(const std::string& what)
    {
        const std::scoped_lock lock(mutex_);
        return std::count(lines_.begin(), lines_.end(), what);
    }

    bool has(const std::string& what)
    {
        const std::scoped_lock lock(mutex_);
        return std::find(lines_.begin(), lines_.end(), what) != lines_.end();
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::string> lines_;
};

/** A gateway's monitor_link with its own event loop. */
class listening_gateway
{
public:
    /** `counts`: numbers of gateways that it remembers. */
    explicit listening_gateway(std::uint16_t monitor_port,
                               std::set<std::string> hosts = {"127.0.0.1"},
                               std::vector<past_gateway_count> counts = {})
        : counts_(std::move(counts)), loop_(std::make_unique<link_loop>()),
          link_(std::make_shared<monitor_link>(
              loop_->reactor(), ip_endpoint{"127.0.0.1", 0}, monitor_port, "g",
              hooks(std::move(hosts))))
    {
        loop_->post([link = link_] { link->start(); });
    }

    listening_gateway(const listening_gateway&) = delete;
    listening_gateway& operator=(const listening_gateway&) = delete;
    ~listening_gateway() { loop_.reset(); }

    void request_turn(const std::string& id, std::uint64_t tokens = 100,
                      bool into_engine = false)
    {
        loop_->post([this, id, tokens, into_engine] {
            monitor_link::turn_hooks on;
            on.granted = [this, id] { reports.add("turn " + id); };
            on.refused = [this, id] { reports.add("no turn " + id); };
            link_->request_turn({"127.0.0.1", id, tokens, into_engine},
                                std::move(on));
        });
    }
    void end_turn(const std::string& id)
    {
        loop_->post([this, id] { link_->end_turn(id); });
    }

    received_reports reports;

private:
    monitor_link::hooks hooks(std::set<std::string> hosts)
    {
        monitor_link::hooks on;
        on.load = [this](const ip_endpoint& engine, const engine_load& load) {
            reports.add("load " + to_string(engine) + " " +
                        std::to_string(load.queued) +
                        (load.leaving ? " leaving" : ""));
        };
        on.identity = [this](const ip_endpoint& engine, const std::string& id) {
            reports.add(id + " at " + to_string(engine));
        };
        on.cold = [this](const ip_endpoint&, const std::string& id,
                         milliseconds left) {
            const bool plausible =
                left > milliseconds(15'000) && left <= milliseconds(20'000);
            reports.add(id + (plausible ? " is cold" : " is wrong"));
        };
        on.gateways = [this](unsigned count) {
            reports.add("gateways " + std::to_string(count));
        };
        on.gateway_counts.counts = [this] { return counts_; };
        on.gateway_counts.learn = [this](const past_gateway_count& told) {
            reports.add("there were " + std::to_string(told.count));
        };
        on.hosts = [hosts = std::move(hosts)] { return hosts; };
        on.health_target = [] { return std::string("/health"); };
        return on;
    }

    std::vector<past_gateway_count> counts_;
    std::unique_ptr<link_loop> loop_;
    std::shared_ptr<monitor_link> link_;
};

class monitor : public testing::Test
{
protected:
    monitor()
        : engine([this](const arrived_request& request, upstream_reply& reply) {
              if (is_down) {
                  reply.reset();
                  return;
              }
              if (resting) {
                  reply.ask_for_rest(request, "0.5");
                  return;
              }
              if (request.head.target == "/health") {
                  reply.answer(request, 200, "",
                               "Instance-Id: " + identity() + "\r\n" +
                                   (cold ? "Cold-Ms: 20000\r\n" : ""));
                  return;
              }
              const std::string state = leaving ? "draining" : "ready";
              reply.answer(request, 200,
                           R"({"queued":2,"active":1,"kv_used":10,)"
                           R"("kv_total":99,"state":")" +
                               state + "\"}",
                           says_leaving ? leaving_field : "");
          })
    {
        monitor_settings settings;
        settings.listen = {"127.0.0.1", 0};
        settings.engine = engine.address();
        settings.interval = milliseconds(10);
        process = std::make_unique<monitor_process>(
            settings,
            monitor_platform{std::make_shared<platform::http_dialect>(), {}});
        port = parse_ip_endpoint(process->address())->port;
    }

    std::string identity()
    {
        const std::scoped_lock lock(mutex);
        return engine_id;
    }
    void restart(const std::string& id)
    {
        is_down = true;
        std::this_thread::sleep_for(milliseconds(100));
        const std::scoped_lock lock(mutex);
        engine_id = id;
        is_down = false;
    }

    std::mutex mutex;
    std::string engine_id = "e1";
    std::atomic<bool> is_down = false;
    std::atomic<bool> leaving = false;
    std::atomic<bool> says_leaving = false; ///< in a header field only
    std::atomic<bool> resting = false;
    std::atomic<bool> cold = false;
    fake_upstream engine;
    std::unique_ptr<monitor_process> process;
    std::uint16_t port = 0;
};

// Guards against load queries and health checks at an engine that rests.
TEST_F(monitor, sends_nothing_to_an_engine_that_rests)
{
    listening_gateway gateway(port);
    const auto line = "load " + to_string(engine.address()) + " 2";
    EXPECT_TRUE(gateway.reports.wait_for(line));
    resting = true;
    std::this_thread::sleep_for(milliseconds(100));
    const auto before = engine.arrived().size();
    std::this_thread::sleep_for(milliseconds(200));
    EXPECT_EQ(engine.arrived().size(), before);
    resting = false;
    const auto deadline = steady_now() + limit;
    while (engine.arrived().size() == before && steady_now() < deadline)
        std::this_thread::sleep_for(milliseconds(5));
    EXPECT_GT(engine.arrived().size(), before);
}

TEST_F(monitor, reports_an_engine_that_says_that_it_leaves)
{
    listening_gateway gateway(port);
    says_leaving = true;
    EXPECT_TRUE(gateway.reports.wait_for("load " + to_string(engine.address()) +
                                         " 2 leaving"));
}

TEST_F(monitor, sends_load_to_subscribed_gateways)
{
    listening_gateway gateway(port);
    const auto line = "load " + to_string(engine.address()) + " 2";
    EXPECT_TRUE(gateway.reports.wait_for(line));
    EXPECT_TRUE(gateway.reports.wait_for("gateways 1"));
    leaving = true;
    EXPECT_TRUE(gateway.reports.wait_for(line + " leaving"));
    listening_gateway second(port);
    EXPECT_TRUE(second.reports.wait_for("gateways 2"));
}

// Guards against a gateway that restarts in a part of the fleet that is cut off
// and takes it for the whole.
TEST_F(monitor, tells_a_gateway_that_starts_how_many_there_were)
{
    {
        listening_gateway ended(port, {"127.0.0.1"}, {{30, milliseconds(10)}});
        EXPECT_TRUE(ended.reports.wait_for("gateways 1"));
    }
    listening_gateway started(port);
    EXPECT_TRUE(started.reports.wait_for("there were 30"));
}

// Guards against a restarted engine that is overrun before the directory lists
// it as cold.
TEST_F(monitor, reports_an_engine_that_is_cold)
{
    cold = true;
    listening_gateway gateway(port);
    EXPECT_TRUE(gateway.reports.wait_for("e1 is cold"));
    cold = false;
    restart("e2");
    EXPECT_TRUE(
        gateway.reports.wait_for("e2 at " + to_string(engine.address())));
    EXPECT_FALSE(gateway.reports.has("e2 is cold"));
}

// An engine crashes and restarts under another id. The directory lists the old
// id for seconds; the monitor must report the new one at once.
TEST_F(monitor, reports_engine_id_after_restart)
{
    listening_gateway gateway(port);
    const auto where = " at " + to_string(engine.address());
    EXPECT_TRUE(gateway.reports.wait_for("e1" + where));
    restart("e2");
    EXPECT_TRUE(gateway.reports.wait_for("e2" + where));
}

// Each identity query takes a slot of the engine or a place in its queue.
TEST_F(monitor, queries_engine_id_once)
{
    listening_gateway gateway(port);
    ASSERT_TRUE(
        gateway.reports.wait_for("e1 at " + to_string(engine.address())));
    std::this_thread::sleep_for(milliseconds(300));
    const auto requests = engine.arrived();
    EXPECT_EQ(std::count_if(requests.begin(), requests.end(),
                            [](const arrived_request& request) {
                                return request.head.target == "/health";
                            }),
              1);
}

// If each of a hundred monitors sent its load to each of a hundred gateways,
// thousands of datagrams a second would delay load reports. A gateway without a
// subscription must receive the load only once, with the answer to its request.
TEST_F(monitor, repeats_load_only_to_subscribers)
{
    listening_gateway subscriber(port);
    listening_gateway other(port, {});
    const auto line = "load " + to_string(engine.address()) + " 2";
    ASSERT_TRUE(subscriber.reports.wait_for(line));
    other.request_turn("a");
    ASSERT_TRUE(other.reports.wait_for("turn a"));
    EXPECT_TRUE(other.reports.has(line));
    const auto received_before = subscriber.reports.count(line);
    std::this_thread::sleep_for(milliseconds(1000));
    EXPECT_GT(subscriber.reports.count(line), received_before);
    EXPECT_EQ(other.reports.count(line), 1U);
}

TEST_F(monitor, bounds_datagram_rate_for_any_number_of_gateways)
{
    for (const std::size_t gateways : {1U, 5U, 27U, 370U}) {
        const auto each = 1000.0 / static_cast<double>(
                                       load_publish_interval(gateways).count());
        EXPECT_LE(each * static_cast<double>(gateways), 125.0);
    }
    // With few gateways each poll of the engine is published.
    EXPECT_LE(load_publish_interval(5), monitor_settings().interval);
}

TEST_F(monitor, does_not_poll_engine_without_gateways)
{
    std::this_thread::sleep_for(milliseconds(60));
    EXPECT_TRUE(engine.arrived().empty());
}

TEST_F(monitor, grants_one_copy_turn_at_a_time)
{
    listening_gateway first(port);
    listening_gateway second(port);
    first.request_turn("a");
    ASSERT_TRUE(first.reports.wait_for("turn a"));
    second.request_turn("b");
    std::this_thread::sleep_for(milliseconds(300));
    EXPECT_FALSE(second.reports.has("turn b"));
    first.end_turn("a");
    EXPECT_TRUE(second.reports.wait_for("turn b"));
}

// If the monitor granted a copy turn, the engine would reject the copy, and the
// copy turn at the source would be held in vain until then.
TEST_F(monitor, refuses_copies_into_an_engine_without_room)
{
    listening_gateway gateway(port);
    ASSERT_TRUE(gateway.reports.wait_for("gateways 1"));
    gateway.request_turn("small", 80, true);
    EXPECT_TRUE(gateway.reports.wait_for("turn small"));
    gateway.request_turn("large", 95, true);
    EXPECT_TRUE(gateway.reports.wait_for("no turn large"));
    gateway.request_turn("from it", 95);
    gateway.end_turn("small");
    EXPECT_TRUE(gateway.reports.wait_for("turn from it"));
}

TEST_F(monitor, refuses_copies_into_an_engine_that_leaves)
{
    leaving = true;
    listening_gateway gateway(port);
    ASSERT_TRUE(gateway.reports.wait_for("load " + to_string(engine.address()) +
                                         " 2 leaving"));
    gateway.request_turn("a", 10, true);
    EXPECT_TRUE(gateway.reports.wait_for("no turn a"));
}

// The monitor has crashed or is cut off. A generation must not wait forever for
// a copy turn that no monitor grants.
TEST_F(monitor, copy_turn_is_granted_if_monitor_does_not_respond)
{
    process.reset();
    listening_gateway gateway(port);
    gateway.request_turn("a");
    EXPECT_TRUE(gateway.reports.wait_for("turn a"));
}

} // namespace
} // namespace cyclamenrun::testing_support

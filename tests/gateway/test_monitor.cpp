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

/** What a gateway hears, waited for by the test. */
class heard
{
public:
    void note(std::string what)
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

/** A gateway's side, on a loop of its own. */
class listening_gateway
{
public:
    explicit listening_gateway(std::uint16_t monitor_port,
                               std::set<std::string> hosts = {"127.0.0.1"})
        : loop_(std::make_unique<link_loop>()),
          link_(std::make_shared<monitor_link>(
              loop_->reactor(), ip_endpoint{"127.0.0.1", 0}, monitor_port, "g",
              hooks(std::move(hosts))))
    {
        loop_->post([link = link_] { link->start(); });
    }

    listening_gateway(const listening_gateway&) = delete;
    listening_gateway& operator=(const listening_gateway&) = delete;
    ~listening_gateway() { loop_.reset(); }

    void want_turn(const std::string& id, std::uint64_t tokens = 100,
                   bool into = false)
    {
        loop_->post([this, id, tokens, into] {
            monitor_link::turn_hooks on;
            on.given = [this, id] { news.note("turn " + id); };
            on.refused = [this, id] { news.note("no turn " + id); };
            link_->want_turn({"127.0.0.1", id, tokens, into}, std::move(on));
        });
    }
    void end_turn(const std::string& id)
    {
        loop_->post([this, id] { link_->end_turn(id); });
    }

    heard news;

private:
    monitor_link::hooks hooks(std::set<std::string> hosts)
    {
        monitor_link::hooks on;
        on.load = [this](const ip_endpoint& engine, const engine_load& load) {
            news.note("load " + to_string(engine) + " " +
                      std::to_string(load.queued) +
                      (load.leaving ? " leaving" : ""));
        };
        on.identity = [this](const ip_endpoint& engine, const std::string& id) {
            news.note(id + " at " + to_string(engine));
        };
        on.gateways = [this](unsigned count) {
            news.note("gateways " + std::to_string(count));
        };
        on.hosts = [hosts = std::move(hosts)] { return hosts; };
        on.health_target = [] { return std::string("/health"); };
        return on;
    }

    std::unique_ptr<link_loop> loop_;
    std::shared_ptr<monitor_link> link_;
};

class monitor : public testing::Test
{
protected:
    monitor()
        : engine([this](const arrived_request& request, upstream_reply& reply) {
              if (away) {
                  reply.reset();
                  return;
              }
              if (request.head.target == "/health") {
                  reply.answer(request, 200, "",
                               "Instance-Id: " + identity() + "\r\n");
                  return;
              }
              const std::string state = leaving ? "draining" : "ready";
              reply.answer(request, 200,
                           R"({"queued":2,"active":1,"kv_used":10,)"
                           R"("kv_total":99,"state":")" +
                               state + "\"}");
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
    void start_again(const std::string& id)
    {
        away = true;
        std::this_thread::sleep_for(milliseconds(100));
        const std::scoped_lock lock(mutex);
        engine_id = id;
        away = false;
    }

    std::mutex mutex;
    std::string engine_id = "e1";
    std::atomic<bool> away = false;
    std::atomic<bool> leaving = false;
    fake_upstream engine;
    std::unique_ptr<monitor_process> process;
    std::uint16_t port = 0;
};

TEST_F(monitor, tells_who_asks_how_its_engine_is)
{
    listening_gateway gateway(port);
    const auto line = "load " + to_string(engine.address()) + " 2";
    EXPECT_TRUE(gateway.news.wait_for(line));
    EXPECT_TRUE(gateway.news.wait_for("gateways 1"));
    leaving = true;
    EXPECT_TRUE(gateway.news.wait_for(line + " leaving"));
    listening_gateway second(port);
    EXPECT_TRUE(second.news.wait_for("gateways 2"));
}

// The engine crashes and starts again under another id. The directory lists
// the old one for seconds; the monitor beside it knows better at once.
TEST_F(monitor, tells_who_its_engine_is)
{
    listening_gateway gateway(port);
    const auto where = " at " + to_string(engine.address());
    EXPECT_TRUE(gateway.news.wait_for("e1" + where));
    start_again("e2");
    EXPECT_TRUE(gateway.news.wait_for("e2" + where));
}

// Each question takes a slot of the engine, or its turn in the queue.
TEST_F(monitor, asks_its_engine_who_it_is_but_once)
{
    listening_gateway gateway(port);
    ASSERT_TRUE(gateway.news.wait_for("e1 at " + to_string(engine.address())));
    std::this_thread::sleep_for(milliseconds(300));
    const auto asked = engine.arrived();
    EXPECT_EQ(std::count_if(asked.begin(), asked.end(),
                            [](const arrived_request& request) {
                                return request.head.target == "/health";
                            }),
              1);
}

// A hundred gateways hear from a hundred monitors, each of each: thousands of
// datagrams a second, and a load is old when it comes. Who wants something else
// of a monitor is told the load beside the answer, and no more.
TEST_F(monitor, tells_its_load_again_only_to_those_who_want_it)
{
    listening_gateway wants(port);
    listening_gateway copies(port, {});
    const auto line = "load " + to_string(engine.address()) + " 2";
    ASSERT_TRUE(wants.news.wait_for(line));
    copies.want_turn("a");
    ASSERT_TRUE(copies.news.wait_for("turn a"));
    EXPECT_TRUE(copies.news.has(line));
    const auto told = wants.news.count(line);
    std::this_thread::sleep_for(milliseconds(1000));
    EXPECT_GT(wants.news.count(line), told);
    EXPECT_EQ(copies.news.count(line), 1U);
}

TEST_F(monitor, sends_a_bounded_number_of_datagrams_however_many_listen)
{
    for (const std::size_t gateways : {1U, 5U, 27U, 370U}) {
        const auto each =
            1000.0 / static_cast<double>(tell_spacing(gateways).count());
        EXPECT_LE(each * static_cast<double>(gateways), 125.0);
    }
    // A few gateways hear every look at the engine.
    EXPECT_LE(tell_spacing(5), monitor_settings().interval);
}

TEST_F(monitor, does_not_ask_its_engine_for_nobody)
{
    std::this_thread::sleep_for(milliseconds(60));
    EXPECT_TRUE(engine.arrived().empty());
}

TEST_F(monitor, gives_turns_one_after_another)
{
    listening_gateway first(port);
    listening_gateway second(port);
    first.want_turn("a");
    ASSERT_TRUE(first.news.wait_for("turn a"));
    second.want_turn("b");
    std::this_thread::sleep_for(milliseconds(300));
    EXPECT_FALSE(second.news.has("turn b"));
    first.end_turn("a");
    EXPECT_TRUE(second.news.wait_for("turn b"));
}

// Its copy would be turned away by the engine, and the turn at its source is
// spent meanwhile.
TEST_F(monitor, refuses_copies_into_an_engine_without_room)
{
    listening_gateway gateway(port);
    ASSERT_TRUE(gateway.news.wait_for("gateways 1"));
    gateway.want_turn("small", 80, true);
    EXPECT_TRUE(gateway.news.wait_for("turn small"));
    gateway.want_turn("large", 95, true);
    EXPECT_TRUE(gateway.news.wait_for("no turn large"));
    gateway.want_turn("from it", 95);
    gateway.end_turn("small");
    EXPECT_TRUE(gateway.news.wait_for("turn from it"));
}

TEST_F(monitor, refuses_copies_into_an_engine_that_leaves)
{
    leaving = true;
    listening_gateway gateway(port);
    ASSERT_TRUE(gateway.news.wait_for("load " + to_string(engine.address()) +
                                      " 2 leaving"));
    gateway.want_turn("a", 10, true);
    EXPECT_TRUE(gateway.news.wait_for("no turn a"));
}

// The monitor has died with the rest of its VM's processes, or is cut off. A
// generation must not wait for a turn that nobody gives.
TEST_F(monitor, a_turn_is_taken_where_nobody_gives_any)
{
    process.reset();
    listening_gateway gateway(port);
    gateway.want_turn("a");
    EXPECT_TRUE(gateway.news.wait_for("turn a"));
}

} // namespace
} // namespace cyclamenrun::testing_support

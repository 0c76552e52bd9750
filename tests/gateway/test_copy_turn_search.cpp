#include "copy_turn_search.hpp"

#include "http_dialect.hpp"
#include "link_loop.hpp"
#include "scripted_monitor.hpp"

#include <condition_variable>
#include <future>
#include <gtest/gtest.h>
#include <mutex>

namespace cyclamenrun::testing_support
{
namespace
{

using notice = std::optional<v1::MonitorNotice>;

/** How a monitor answers requests for copy turns. */
enum class answer : std::uint8_t { given, waits, refused, none };

scripted_monitor::script always(answer kind)
{
    return [kind](const v1::MonitorRequest& request) -> notice {
        v1::MonitorNotice reply;
        if (request.turn_wanted().empty() || kind == answer::none)
            return std::nullopt;
        if (kind == answer::given)
            reply.set_turn_given(request.turn_wanted());
        else if (kind == answer::waits)
            reply.set_turn_waits(request.turn_wanted());
        else
            reply.set_turn_refused(request.turn_wanted());
        return reply;
    };
}

bool ends_turn(const v1::MonitorRequest& request)
{
    return !request.turn_ended().empty();
}

/**
 * Engines on separate hosts with monitors, and the search of a destination
 * among them.
 */
class copy_turn_searches : public testing::Test
{
protected:
    copy_turn_searches() : port(scripted_monitor::free_port())
    {
        on_loop([this] {
            context = std::make_unique<gateway_context>(
                loop->reactor(), std::make_shared<platform::http_dialect>(),
                upstream_registry::hooks(), retry_budget_settings(),
                std::nullopt, 1);
            monitor_link::hooks on;
            on.load = [](const ip_endpoint&, const engine_load&) {};
            on.identity = [](const ip_endpoint&, const std::string&) {};
            on.gateways = [](unsigned) {};
            on.hosts = [] { return std::set<std::string>(); };
            on.health_target = [] { return std::string(); };
            context->monitors = std::make_shared<monitor_link>(
                loop->reactor(), ip_endpoint{"127.0.0.1", 0}, port, "g",
                std::move(on));
            context->monitors->start();
        });
    }

    ~copy_turn_searches() override
    {
        on_loop([this] { search.reset(); });
        loop.reset();
    }

    template <typename Call>
    void on_loop(Call call)
    {
        std::promise<void> done;
        loop->post([&] {
            call();
            done.set_value();
        });
        done.get_future().wait();
    }

    scripted_monitor& add(const std::string& host,
                          scripted_monitor::script respond)
    {
        upstream_record record;
        record.id = "on-" + host;
        record.service = "model";
        record.address = {host, 80};
        record.slots = 8;
        engines.push_back(record);
        on_loop([&] {
            context->upstreams.apply({record.id, record}, {}, false);
        });
        monitors.push_back(
            std::make_unique<scripted_monitor>(host, port, std::move(respond)));
        return *monitors.back();
    }

    void begin()
    {
        copy_turn_search::hooks on;
        on.candidates = [this](const std::vector<std::string>& exclude,
                               std::size_t count) {
            std::vector<upstream_record> left;
            for (const auto& each : engines) {
                if (left.size() < count &&
                    std::find(exclude.begin(), exclude.end(), each.id) ==
                        exclude.end())
                    left.push_back(each);
            }
            return left;
        };
        on.cost = [this](const upstream_record& engine) {
            return engine.id == cheapest ? 0.0 : 1.0;
        };
        on.found = [this](const upstream_record& to) { end_with(to.id); };
        on.none = [this] { end_with("none"); };
        on_loop([&] {
            search = std::make_shared<copy_turn_search>(*context, "r1", 100,
                                                        std::move(on));
            search->start();
        });
    }

    void end_with(const std::string& outcome)
    {
        const std::scoped_lock lock(mutex);
        result = outcome;
        changed.notify_all();
    }

    std::string wait_for_result()
    {
        std::unique_lock lock(mutex);
        changed.wait_for(lock, std::chrono::seconds(10),
                         [this] { return !result.empty(); });
        return result;
    }

    std::uint16_t port;
    std::unique_ptr<link_loop> loop = std::make_unique<link_loop>();
    std::unique_ptr<gateway_context> context;
    std::shared_ptr<copy_turn_search> search;
    std::vector<upstream_record> engines;
    std::vector<std::unique_ptr<scripted_monitor>> monitors;
    std::string cheapest;
    std::mutex mutex;
    std::condition_variable changed;
    std::string result;
};

// Guards against copies that queue while other links are idle: many generations
// leave at once and select the same destination, and the reclaim notice expires
// while they wait.
TEST_F(copy_turn_searches, use_an_engine_whose_link_is_free)
{
    const auto& busy = add("127.0.0.2", always(answer::waits));
    const auto& idle = add("127.0.0.3", always(answer::given));
    begin();
    EXPECT_EQ(wait_for_result(), "on-127.0.0.3");
    EXPECT_TRUE(busy.wait_for(ends_turn))
        << "the turn at the busy link was not released";
    EXPECT_EQ(idle.count_of(ends_turn), 0U);
    on_loop([this] { search->end(); });
    EXPECT_TRUE(idle.wait_for(ends_turn));
}

TEST_F(copy_turn_searches, use_the_better_of_two_turns)
{
    const auto& other = add("127.0.0.2", always(answer::given));
    add("127.0.0.3", always(answer::given));
    cheapest = "on-127.0.0.3";
    begin();
    EXPECT_EQ(wait_for_result(), "on-127.0.0.3");
    EXPECT_TRUE(other.wait_for(ends_turn));
}

// Guards against a search that ends at the first refusals, which come from
// engines that leave or have filled up.
TEST_F(copy_turn_searches, continue_after_refusals)
{
    for (const auto* host :
         {"127.0.0.2", "127.0.0.3", "127.0.0.4", "127.0.0.5", "127.0.0.6"})
        add(host, always(answer::refused));
    add("127.0.0.7", always(answer::given));
    begin();
    EXPECT_EQ(wait_for_result(), "on-127.0.0.7");
}

TEST_F(copy_turn_searches, end_when_all_have_refused)
{
    add("127.0.0.2", always(answer::refused));
    add("127.0.0.3", always(answer::refused));
    begin();
    EXPECT_EQ(wait_for_result(), "none");
}

// Guards against waiting while the links of all requested engines are busy.
TEST_F(copy_turn_searches, request_more_engines_while_links_are_busy)
{
    for (const auto* host :
         {"127.0.0.2", "127.0.0.3", "127.0.0.4", "127.0.0.5"})
        add(host, always(answer::waits));
    add("127.0.0.6", always(answer::given));
    begin();
    EXPECT_EQ(wait_for_result(), "on-127.0.0.6");
}

// Guards against a copy to an engine that leaves, when the directory reports it
// before the engine's monitor does.
TEST_F(copy_turn_searches, use_no_engine_that_leaves)
{
    add("127.0.0.2", always(answer::given));
    add("127.0.0.3", always(answer::given));
    cheapest = "on-127.0.0.2";
    on_loop([this] {
        auto leaving = engines.front();
        leaving.draining = true;
        context->upstreams.apply({leaving.id, leaving}, {}, false);
    });
    begin();
    EXPECT_EQ(wait_for_result(), "on-127.0.0.3");
}

// Guards against a failed move when the monitor of the only engine has crashed:
// a copy that competes with others is better than none.
TEST_F(copy_turn_searches, use_an_engine_without_a_monitor_as_a_last_resort)
{
    add("127.0.0.2", always(answer::none));
    begin();
    EXPECT_EQ(wait_for_result(), "on-127.0.0.2");
}

} // namespace
} // namespace cyclamenrun::testing_support

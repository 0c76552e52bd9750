#include "../support/own_host.hpp"
#include "engine_monitor.hpp"
#include "http_dialect.hpp"
#include "http_server.hpp"
#include "monitor_link.hpp"
#include "paused_loops.hpp"

#include <gtest/gtest.h>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace cyclamenrun::testing_support
{
namespace
{

enum class paused_side { gateways, monitor, both };

/** One monitor beside its engine, and two gateways that want copy turns. */
class simulated_fleet
{
public:
    simulated_fleet()
    {
        engine = std::make_shared<http_server>(
            engine_loop, ip_endpoint{host, 0}, engine_hooks());
        engine->start();
        engine_monitor_settings settings;
        settings.listen = {host, monitor_port};
        settings.engine = engine->address();
        settings.interval = milliseconds(100);
        monitor = std::make_shared<engine_monitor>(
            monitor_loop, std::make_shared<platform::http_dialect>(), settings,
            metrics_);
        monitor->start();
        first = add_gateway(2);
        second = add_gateway(3);
    }

    ~simulated_fleet() { loops.stop(); }

    void pause(paused_side side, time_point from, duration length)
    {
        if (side != paused_side::monitor)
            loops.pause(gateway_loop, from, length);
        if (side != paused_side::gateways)
            loops.pause(monitor_loop, from, length);
    }

    /** Requests a turn and records when it was granted. */
    void request_turn(const std::shared_ptr<monitor_link>& link,
                      const std::string& id, std::optional<time_point>& granted)
    {
        monitor_link::turn_hooks on;
        on.granted = [this, &granted] { granted = loops.now(); };
        link->request_turn({host, id, 100, false}, std::move(on));
    }

    const std::string host = own_host(1); ///< of the monitor and its engine
    paused_loops loops;
    paused_loops::loop engine_loop = loops.add();
    paused_loops::loop monitor_loop = loops.add();
    paused_loops::loop gateway_loop = loops.add();
    std::shared_ptr<http_server> engine;
    std::shared_ptr<engine_monitor> monitor;
    std::shared_ptr<monitor_link> first;
    std::shared_ptr<monitor_link> second;
    unsigned fewest_gateways = 2; ///< that the monitor has reported

private:
    static constexpr std::uint16_t monitor_port = 7000;

    std::shared_ptr<monitor_link> add_gateway(int number)
    {
        auto link = std::make_shared<monitor_link>(
            gateway_loop, ip_endpoint{own_host(number), 0}, monitor_port, "g",
            hooks());
        link->start();
        return link;
    }

    static session_hooks engine_hooks()
    {
        session_hooks hooks;
        hooks.serve = [](const caller_request&,
                         const std::shared_ptr<answer_writer>& writer) {
            http_head head;
            head.status = 200;
            writer->write_whole(std::move(head),
                                R"({"active":1,"queued":0,)"
                                R"("kv_used":10,"kv_total":10000})");
            return session_hooks::disconnect_handler();
        };
        hooks.limits = [] { return session_limits(); };
        return hooks;
    }

    monitor_link::hooks hooks()
    {
        monitor_link::hooks on;
        on.load = [](const ip_endpoint&, const engine_load&) {};
        on.identity = [](const ip_endpoint&, const std::string&) {};
        on.gateways = [this](unsigned count) {
            fewest_gateways = std::min(fewest_gateways, count);
        };
        on.hosts = [this] { return std::set<std::string>{host}; };
        on.health_target = [] { return std::string(); };
        return on;
    }

    exported_metrics metrics_;
};

struct pause_case {
    paused_side side;
    milliseconds from;   ///< after the first turn was requested
    milliseconds length; ///< 0.05 to 3 s
};

pause_case draw_case(std::mt19937_64& random)
{
    const auto draw = [&](int least, int most) {
        return std::uniform_int_distribution<int>(least, most)(random);
    };
    return {static_cast<paused_side>(draw(0, 2)), milliseconds(draw(0, 500)),
            milliseconds(draw(0, 1) == 0 ? draw(50, 400) : draw(50, 3000))};
}

std::string text_of(const pause_case& tested)
{
    constexpr const char* sides[] = {"gateways", "monitor", "both"};
    return std::string(sides[static_cast<int>(tested.side)]) + " paused at " +
           std::to_string(tested.from.count()) + " ms for " +
           std::to_string(tested.length.count()) + " ms";
}

constexpr milliseconds hold_time{400};
constexpr milliseconds settle_time{4000};
/**
 * A gateway may copy without a grant if the monitor is paused for longer than
 * this; it repeats its request meanwhile.
 */
constexpr milliseconds shortest_judged_pause{100};

/** Whether the second turn may be granted before the first one has ended. */
bool may_overtake(const pause_case& tested)
{
    // The side that is awake judges the other one by its silence.
    if (tested.side == paused_side::monitor)
        return tested.length > shortest_judged_pause;
    return tested.side == paused_side::gateways &&
           tested.length + hold_time > copy_turn_duration_limit;
}

void check_pause(const pause_case& tested)
{
    simulated_fleet fleet;
    const auto start = fleet.loops.now() + milliseconds(1200);
    fleet.loops.run_until(start);
    fleet.fewest_gateways = 2;
    fleet.pause(tested.side, start + tested.from, tested.length);
    std::optional<time_point> first_granted;
    std::optional<time_point> second_granted;
    fleet.request_turn(fleet.first, "a", first_granted);
    fleet.loops.run_until(start + milliseconds(1));
    fleet.request_turn(fleet.second, "b", second_granted);
    time_point first_ended = time_point::max();
    fleet.gateway_loop->post_at(start + hold_time, [&] {
        first_ended = fleet.loops.now();
        fleet.first->end_turn("a");
    });
    fleet.loops.run_until(start + tested.from + tested.length + settle_time);
    ASSERT_TRUE(first_granted);
    ASSERT_TRUE(second_granted);
    const bool overtaken =
        *second_granted < first_ended && *first_granted <= *second_granted;
    EXPECT_TRUE(!overtaken || may_overtake(tested));
    // Only gateways that are silent while the monitor is awake are forgotten.
    EXPECT_TRUE(fleet.fewest_gateways == 2 ||
                tested.side == paused_side::gateways);
    EXPECT_TRUE(fleet.first->is_responding(fleet.host));
}

// Guards against a process that was paused and then judges others by time that
// it slept through: a gateway takes a copy turn that another one has, or a
// monitor forgets its gateways.
TEST(pauses, judge_nobody_on_virtual_time)
{
    for (unsigned seed = 1; seed <= 300; ++seed) {
        std::mt19937_64 random(seed);
        const auto tested = draw_case(random);
        SCOPED_TRACE("seed " + std::to_string(seed) + ": " + text_of(tested));
        check_pause(tested);
        if (testing::Test::HasFatalFailure())
            return;
    }
}

} // namespace
} // namespace cyclamenrun::testing_support

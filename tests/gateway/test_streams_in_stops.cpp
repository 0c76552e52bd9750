#include "../support/free_port.hpp"
#include "gateway_fixture.hpp"
#include "generating_engine.hpp"
#include "scripted_monitor.hpp"

#include <memory>
#include <thread>

namespace cyclamenrun::testing_support
{
namespace
{

/** A gateway that stops while a stream waits for a start. */
class streams_in_stops : public gateway_fixture
{
protected:
    /** Ends the scripts' threads before the members that they use. */
    ~streams_in_stops() override
    {
        gateway.reset();
        upstreams.clear();
        monitor.reset();
    }

    void start_monitored()
    {
        const auto port = free_port();
        settings.loads_listen = {"127.0.0.1", free_port()};
        settings.monitor_port = port;
        settings.stop_grace_s = 3;
        monitor = std::make_unique<scripted_monitor>(
            "127.0.0.1", port,
            [this](const v1::MonitorRequest& wanted)
                -> std::optional<v1::MonitorNotice> {
                if (!wanted.has_start_wanted())
                    return std::nullopt;
                const auto& id = wanted.start_wanted().id();
                return grants ? start_given(id) : start_waits(id);
            });
        start();
        add("e1", script_of(engine), "model");
    }

    std::atomic<bool> grants = false;
    std::shared_ptr<generating_engine> engine =
        std::make_shared<generating_engine>();
    std::unique_ptr<scripted_monitor> monitor;
};

// Guards against a stream that is cut at the end of a stop: it was taken before
// the stop and is passed on so late in it that it can't end.
TEST_F(streams_in_stops, that_wait_are_refused_once_they_can_not_end)
{
    start_monitored();
    engine->hold_before = 5;
    test_caller caller(gateway->address());
    caller.send(request("/gen/x"));
    ASSERT_TRUE(monitor->wait_for([](const v1::MonitorRequest& wanted) {
        return wanted.has_start_wanted();
    }));
    std::thread stop([&] { (void)gateway->drain(); });
    const auto stopped_at = steady_now();
    std::thread late_grant([&] {
        std::this_thread::sleep_for(milliseconds(1000));
        grants = true;
    });
    const auto answer = caller.read();
    EXPECT_LT(steady_now() - stopped_at, milliseconds(900));
    late_grant.join();
    stop.join();
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.status(), 503U);
    EXPECT_EQ(answer.body, R"({"error":"stopping"})");
    EXPECT_TRUE(upstreams[0]->arrived().empty());
}

} // namespace
} // namespace cyclamenrun::testing_support

#include "../support/free_port.hpp"
#include "../support/own_host.hpp"
#include "gateway_program.hpp"

#include <random>

namespace cyclamenrun::testing_support
{
namespace
{

/** The gateway and monitor programs with one engine, which runs in the test. */
class paused_programs : public testing::Test
{
protected:
    paused_programs()
        : engine(
              [](const arrived_request& request, upstream_reply& reply) {
                  reply.answer(request, 200,
                               R"({"active":0,"queued":0,)"
                               R"("kv_used":0,"kv_total":10000})");
              },
              own_host(1))
    {
        store.put("keyed.op", "config",
                  R"({"version":1,"routes":[{"name":"s","host":"h",)"
                  R"("path_prefix":"/","type":"streaming",)"
                  R"("service":"model"}],"services":[{"name":"model",)"
                  R"("engine":{"slots":8,"kv_capacity":10000}}]})");
        store.put("keyed.servers", "e-1",
                  R"({"service":"model","address":")" +
                      to_string(engine.address()) +
                      R"(","zone":"d","slots":8,"state":"ready"})");
        const auto port = std::to_string(free_port());
        settings.write("name = \"m\"\nlisten = \"" + own_host(1) + ":" + port +
                       "\"\nengine = \"" + to_string(engine.address()) +
                       "\"\n[directory]\naddress = \"" + store.address() +
                       "\"\n");
        monitor = start("cyclamenrun-monitor");
        monitor->wait_until_ready();
        settings.write(
            gateway_settings_text(store) +
            "[loads]\nlisten = \"127.0.0.1:0\"\nmonitor_port = " + port + "\n");
        gateway = start("cyclamenrun-gateway");
        gateway->wait_until_ready();
        wait_for_relayed_reads();
    }

    std::unique_ptr<child_process> start(const std::string& program) const
    {
        return std::make_unique<child_process>(
            program, std::vector<std::string>{"--settings", settings.path()});
    }

    /** Waits until the gateway reads the directory through the monitor. */
    void wait_for_relayed_reads()
    {
        const auto address = gateway->wait_for_listener("ready");
        const auto deadline = steady_now() + std::chrono::seconds(10);
        std::string state;
        while (state.find("\"relayed\":true") == std::string::npos &&
               steady_now() < deadline) {
            test_caller caller(address);
            caller.send("GET /state HTTP/1.1\r\nHost: x\r\n\r\n");
            state = caller.read().body;
            std::this_thread::sleep_for(milliseconds(10));
        }
        ASSERT_NE(state.find("\"relayed\":true"), std::string::npos)
            << state << monitor->output();
    }

    /** Pauses the gateway, and the monitor at the same time if `both`. */
    void pause(bool both, milliseconds length) const
    {
        gateway->signal(SIGSTOP);
        if (both)
            monitor->signal(SIGSTOP);
        std::this_thread::sleep_for(length);
        if (both)
            monitor->signal(SIGCONT);
        gateway->signal(SIGCONT);
    }

    fake_store store;
    fake_upstream engine;
    temporary_settings_file settings{""};
    std::unique_ptr<child_process> monitor;
    std::unique_ptr<child_process> gateway;
};

// Guards against a gateway that was paused, alone or with the monitor, and then
// takes the monitor for lost because of the time that it slept through.
TEST_F(paused_programs, judge_nobody_by_the_time_of_a_pause)
{
    std::mt19937_64 random(20261203);
    for (const int longest : {100, 400, 3000, 3000}) {
        for (const bool both : {false, true}) {
            std::uniform_int_distribution<int> length(longest / 2, longest);
            std::uniform_int_distribution<int> running(0, 300);
            pause(both, milliseconds(length(random)));
            std::this_thread::sleep_for(milliseconds(running(random)));
        }
    }
    std::this_thread::sleep_for(milliseconds(500));
    const auto log = gateway->output();
    EXPECT_EQ(log.find("monitor_lost"), std::string::npos) << log;
    // A monitor that is awake closes the connection of a silent gateway, which
    // the gateway then reports as lost.
    EXPECT_EQ(log.find("timed_out"), std::string::npos) << log;
    EXPECT_EQ(log.find("directory_lost"), std::string::npos) << log;
}

} // namespace
} // namespace cyclamenrun::testing_support

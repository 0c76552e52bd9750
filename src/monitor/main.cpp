#include "daemon_main.hpp"
#include "http_dialect.hpp"
#include "monitor_process.hpp"
#include "store_feed.hpp"

using namespace cyclamenrun;

int main(int argc, char** argv)
{
    monitor_settings settings;
    daemon_program program;
    program.name = "cyclamenrun-monitor";
    program.description =
        "Reports the load of the engine on its VM to gateways.";
    program.default_settings = default_monitor_settings;
    program.read_settings = [&](const std::string& file) {
        return read_monitor_settings(file).map([&](monitor_settings read) {
            settings = std::move(read);
            return log_settings_of(settings);
        });
    };
    program.serve = [&](const signal_waiter& stop) {
        monitor_platform platform;
        platform.dialect = std::make_shared<platform::http_dialect>();
        platform.feeds = platform::make_relay_feeds;
        monitor_process process(settings, platform);
        return serve_until_stopped(process, stop);
    };
    return daemon_main(program, argc, argv);
}

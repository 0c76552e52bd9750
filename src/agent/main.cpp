#include "agent_process.hpp"
#include "daemon_main.hpp"

using namespace cyclamenrun;

int main(int argc, char** argv)
{
    agent_settings settings;
    daemon_program program;
    program.name = "cyclamenrun-agent";
    program.description = "Controls access to one upstream.";
    program.default_settings = default_agent_settings;
    program.read_settings = [&](const std::string& file) {
        return read_agent_settings(file).map([&](agent_settings read) {
            settings = std::move(read);
            return log_settings_of(settings);
        });
    };
    program.serve = [&](const signal_waiter& stop) {
        agent_process process(settings);
        return serve_until_stopped(process, stop);
    };
    return daemon_main(program, argc, argv);
}

#include "daemon_main.hpp"
#include "entry_process.hpp"

using namespace cyclamenrun;

int main(int argc, char** argv)
{
    entry_settings settings;
    daemon_program program;
    program.name = "cyclamenrun-entry";
    program.description = "Serves callers and operators.";
    program.default_settings = default_entry_settings;
    program.read_settings = [&](const std::string& file) {
        return read_entry_settings(file).map([&](entry_settings read) {
            settings = std::move(read);
            return log_settings_of(settings);
        });
    };
    program.serve = [&](const signal_waiter& stop) {
        entry_process process(settings);
        announce_listener("operators", process.operator_address());
        return serve_until_stopped(process, stop);
    };
    return daemon_main(program, argc, argv);
}

#include "daemon_main.hpp"
#include "entry_process.hpp"

#include <iostream>

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
            return settings.log_level;
        });
    };
    program.serve = [&](const stop_signal& stop) {
        entry_process process(settings);
        std::cout << "operators " << process.operator_address() << std::endl;
        return serve_until_stopped(process, stop);
    };
    return daemon_main(program, argc, argv);
}

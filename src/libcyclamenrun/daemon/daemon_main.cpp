#include "daemon_main.hpp"

#include "build_info.hpp"
#include "failure_report.hpp"
#include "log_event.hpp"
#include "logging.hpp"
#include "rejected_messages.hpp"

#include <CLI/CLI.hpp>
#include <Poco/Exception.h>
#include <iostream>

namespace cyclamenrun
{

namespace
{

void log_rejected_message(const message_error& error, std::uint64_t count)
{
    log_event(log_severity::warning, log_event_name::message_rejected,
              {{log_key::name, error.message},
               {log_key::reason, name_of(error.problem)},
               {log_key::detail, error.field},
               {log_key::count, count}});
}

exit_code run(const daemon_program& program, const std::string& file,
              bool check_only)
{
    const signal_waiter stop;
    const auto log = program.read_settings(file);
    if (!log) {
        for (const auto& error : log.error())
            std::cerr << to_string(error) << '\n';
        return exit_code::settings;
    }
    if (check_only)
        return exit_code::ok;
    start_logging(*log, standard_output_writer());
    report_own_failures(log->process);
    process_rejected_messages().set_reporter(log_rejected_message);
    log_event(
        log_severity::info, log_event_name::process_started,
        {{log_key::name, program.name}, {log_key::version, build_version}});
    try {
        return program.serve(stop);
    } catch (const Poco::Exception& error) {
        log_event(log_severity::error, log_event_name::internal_error,
                  {{log_key::detail, error.displayText()}});
        return exit_code::cannot_listen;
    }
}

} // namespace

int daemon_main(const daemon_program& program, int argc, char** argv)
{
    CLI::App app(program.description, program.name);
    std::string file;
    bool check = false;
    bool print_defaults = false;
    app.add_option("--settings", file, "settings file (TOML)")
        ->envname("CYCLAMENRUN_SETTINGS");
    app.add_flag("--check", check, "check the settings and exit");
    app.add_flag("--print-defaults", print_defaults,
                 "print a settings file with all defaults and exit");
    app.set_version_flag("--version", version_text(program.name));
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? to_status(exit_code::ok)
                                    : to_status(exit_code::usage);
    }
    if (print_defaults) {
        std::cout << program.default_settings();
        return to_status(exit_code::ok);
    }
    if (file.empty()) {
        std::cerr << program.name << ": --settings FILE is required\n";
        return to_status(exit_code::usage);
    }
    return to_status(run(program, file, check));
}

void announce_listener(const std::string& name, const std::string& address)
{
    log_event(log_severity::info, log_event_name::listener_opened,
              {{log_key::name, name}, {log_key::address, address}});
}

void announce_ready(const std::string& address)
{
    log_event(log_severity::info, log_event_name::process_ready,
              {{log_key::address, address}});
}

void announce_reload_ignored()
{
    log_event(log_severity::warning, log_event_name::settings_unusable,
              {{log_key::detail,
                "SIGHUP ignored: the settings are read at startup only"}});
}

void announce_stopping()
{
    log_event(log_severity::info, log_event_name::process_stopping);
}

void announce_stopped()
{
    log_event(log_severity::info, log_event_name::process_stopped);
}

} // namespace cyclamenrun

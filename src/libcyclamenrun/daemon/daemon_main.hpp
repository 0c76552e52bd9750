#ifndef CYCLAMENRUN_DAEMON_MAIN_HPP
#define CYCLAMENRUN_DAEMON_MAIN_HPP

#include "exit_code.hpp"
#include "logging.hpp"
#include "settings_error.hpp"
#include "signal_waiter.hpp"

#include <csignal>
#include <functional>
#include <string>

namespace cyclamenrun
{

/** The parts of a daemon's main() that differ between daemons. */
struct daemon_program {
    std::string name;
    std::string description;
    std::function<std::string()> default_settings;
    /** Reads the settings file and returns the log settings. */
    std::function<settings_outcome<log_settings>(const std::string& file)>
        read_settings;
    /** Serves until a stop signal arrives, then drains. */
    std::function<exit_code(const signal_waiter& stop)> serve;
};

/** Returns the log settings with the name of the process filled in. */
template <typename Settings>
log_settings log_settings_of(const Settings& settings)
{
    auto log = settings.log;
    log.process = settings.name;
    return log;
}

/**
 * Parses the daemon's command line and runs the daemon. Returns the exit
 * status.
 */
int daemon_main(const daemon_program& program, int argc, char** argv);

/** Logs that SIGHUP is ignored, as the settings are read at startup only. */
void announce_reload_ignored();

/**
 * Serves until a stop signal arrives, then drains. `Process` has address() and
 * drain(), and reload() if it can reload its settings.
 */
template <typename Process>
exit_code serve_until_stopped(Process& process, const signal_waiter& stop);

/** Logs that the listener `name` is open. */
void announce_listener(const std::string& name, const std::string& address);
/** Logs that the process is ready and serves at `address`. */
void announce_ready(const std::string& address);
void announce_stopping();
void announce_stopped();

template <typename Process>
exit_code serve_until_stopped(Process& process, const signal_waiter& stop)
{
    announce_ready(process.address());
    while (stop.wait() == SIGHUP) {
        if constexpr (requires { process.reload(); })
            process.reload();
        else
            announce_reload_ignored();
    }
    announce_stopping();
    const bool complete = process.drain();
    announce_stopped();
    return complete ? exit_code::ok : exit_code::work_cut;
}

} // namespace cyclamenrun

#endif // CYCLAMENRUN_DAEMON_MAIN_HPP

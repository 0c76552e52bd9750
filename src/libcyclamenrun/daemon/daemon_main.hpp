#ifndef CYCLAMENRUN_DAEMON_MAIN_HPP
#define CYCLAMENRUN_DAEMON_MAIN_HPP

#include "exit_code.hpp"
#include "logging.hpp"
#include "settings_error.hpp"
#include "stop_signal.hpp"

#include <csignal>
#include <functional>
#include <string>

namespace cyclamenrun
{

/** What main() of a daemon does besides reading its command line. */
struct daemon_program {
    std::string name;
    std::string description;
    std::function<std::string()> default_settings;
    /** Reads the settings, and says how much is to be logged. */
    std::function<settings_outcome<log_settings>(const std::string& file)>
        read_settings;
    /** Serves until the stop signal, then drains. */
    std::function<exit_code(const stop_signal& stop)> serve;
};

/** How a process with these settings logs: under its own name. */
template <typename Settings>
log_settings log_settings_of(const Settings& settings)
{
    auto log = settings.log;
    log.process = settings.name;
    return log;
}

/** The command line that all daemons share; returns the exit status. */
int daemon_main(const daemon_program& program, int argc, char** argv);

/** SIGHUP came to a process that reads its settings at its start only. */
void announce_kept_settings();

/**
 * Serves until told to stop: `Process` has address() and drain(), and
 * reload() if it can read its settings again.
 */
template <typename Process>
exit_code serve_until_stopped(Process& process, const stop_signal& stop);

/** A listener is open; `name` says for whom. */
void announce_listener(const std::string& name, const std::string& address);
/** It serves, at `address` those whom it is for. */
void announce_ready(const std::string& address);
void announce_stopping();
void announce_stopped();

template <typename Process>
exit_code serve_until_stopped(Process& process, const stop_signal& stop)
{
    announce_ready(process.address());
    while (stop.wait() == SIGHUP) {
        if constexpr (requires { process.reload(); })
            process.reload();
        else
            announce_kept_settings();
    }
    announce_stopping();
    const bool complete = process.drain();
    announce_stopped();
    return complete ? exit_code::ok : exit_code::work_cut;
}

} // namespace cyclamenrun

#endif // CYCLAMENRUN_DAEMON_MAIN_HPP

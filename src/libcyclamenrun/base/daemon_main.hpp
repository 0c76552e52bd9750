#ifndef CYCLAMENRUN_DAEMON_MAIN_HPP
#define CYCLAMENRUN_DAEMON_MAIN_HPP

#include "exit_code.hpp"
#include "log_severity.hpp"
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
    /** Reads the settings; the severity is that from which it logs. */
    std::function<settings_outcome<log_severity>(const std::string& file)>
        read_settings;
    /** Serves until the stop signal, then drains. */
    std::function<exit_code(const stop_signal& stop)> serve;
};

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

/** Tells the standard output and the log that it serves at `address`. */
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

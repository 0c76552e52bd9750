#ifndef CYCLAMENRUN_LOGGING_HPP
#define CYCLAMENRUN_LOGGING_HPP

#include "log_rate_limiter.hpp"
#include "log_severity.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/** Settings of a process's log. */
struct log_settings {
    std::string process; ///< name of the process, written on each line
    log_severity min_severity = log_severity::info;
    double lines_per_s = default_log_lines_per_s;

    bool operator==(const log_settings&) const = default;

    /**
     * More than twice the peak of a gateway in the largest supported
     * installation.
     */
    static constexpr double default_log_lines_per_s = 200;
};

/**
 * Writes one line, given without its line feed; returns false if the line was
 * dropped. Called by one thread at a time.
 */
using log_writer =
    std::function<bool(log_severity severity, std::string_view line)>;

/** Returns a non-blocking writer to standard output; see line_output. */
log_writer standard_output_writer();

/**
 * Configures glog to write JSON lines: events as log_event() formats them,
 * messages of libraries wrapped as `library_message`. main() calls it once
 * before it starts a thread. Lines that the budget or the writer drop are
 * counted and reported in `log_lines_dropped` once there is room again.
 */
void start_logging(const log_settings& settings, log_writer writer);

/** Returns the number of lines dropped since the process started. */
dropped_lines total_dropped_lines();

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LOGGING_HPP

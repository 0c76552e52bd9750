#ifndef CYCLAMENRUN_LOGGING_HPP
#define CYCLAMENRUN_LOGGING_HPP

#include "line_budget.hpp"
#include "log_severity.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/** How much a process logs. */
struct log_settings {
    std::string process; ///< its name in the system, on each line
    log_severity least = log_severity::info;
    double lines_per_s = default_log_lines_per_s;

    /**
     * A gateway of the largest target answers 10 requests a second. Of 38
     * days with faults the busiest second took 85 lines of one gateway, and
     * the busiest gateway 27 lines a second on average.
     */
    static constexpr double default_log_lines_per_s = 200;
};

/**
 * Takes one line without its line feed, or says that it can't; called by one
 * thread at a time.
 */
using log_writer =
    std::function<bool(log_severity severity, std::string_view line)>;

/** Writes to standard output, and waits for nobody; see line_output. */
log_writer standard_output_writer();

/**
 * Sets glog up to write JSON lines: our own events as they are, messages of
 * libraries wrapped as `library_message`. Called once by main() before the
 * first thread. Lines that the budget or the writer leave out are counted,
 * and told in `log_lines_dropped` once there is room again.
 */
void start_logging(const log_settings& settings, log_writer writer);

/** Lines left out since the start of the process. */
dropped_lines all_dropped_lines();

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LOGGING_HPP

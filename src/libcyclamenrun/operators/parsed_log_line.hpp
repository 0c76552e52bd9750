#ifndef CYCLAMENRUN_PARSED_LOG_LINE_HPP
#define CYCLAMENRUN_PARSED_LOG_LINE_HPP

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cyclamenrun
{

/** A parsed line of a process's log. */
struct parsed_log_line {
    std::string time; ///< RFC 3339 in UTC, so that string order is time order
    std::string process;
    std::string event;
    /** Empty for an event that is not about one request. */
    std::string request_id;
    /**
     * The other fields except the severity, as text, in the order of the JSON
     * object.
     */
    std::vector<std::pair<std::string, std::string>> fields;

    /** Returns the value of a field; empty if there is none. */
    std::string field(std::string_view name) const;
};

/**
 * Parses a line of a log. Skips the text before the first brace, since log
 * collectors put a host or a time there. Empty if the line is not a log event
 * of this project.
 */
std::optional<parsed_log_line> parse_log_line(const std::string& line);

/**
 * Returns the milliseconds between two times of log lines; empty if one cannot
 * be parsed.
 */
std::optional<long long> ms_between(const std::string& earlier,
                                    const std::string& later);

/** Returns the time `ms` before `time`, or `time` if it cannot be parsed. */
std::string time_before(const std::string& time, long long ms);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_PARSED_LOG_LINE_HPP

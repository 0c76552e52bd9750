#ifndef CYCLAMENRUN_LOG_RECORD_HPP
#define CYCLAMENRUN_LOG_RECORD_HPP

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cyclamenrun
{

/** One line of a process's log, read back. */
struct log_record {
    std::string time; ///< RFC 3339 in UTC, so that texts sort by time
    std::string process;
    std::string event;
    std::string request_id; ///< empty: it concerns no one request
    /** The other fields, in their order, as text. */
    std::vector<std::pair<std::string, std::string>> fields;

    std::string field(std::string_view name) const;
};

/**
 * Reads a line; whatever stands before its first brace is passed over, since
 * collectors put a host or a time there. Empty for what is no line of ours.
 */
std::optional<log_record> read_log_record(const std::string& line);

/** From one record's time to another's; empty if one is no time. */
std::optional<long long> ms_between(const std::string& earlier,
                                    const std::string& later);

/** The time so much before another; the same text if it is no time. */
std::string time_before(const std::string& time, long long ms);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LOG_RECORD_HPP

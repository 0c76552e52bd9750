#ifndef CYCLAMENRUN_METRIC_HPP
#define CYCLAMENRUN_METRIC_HPP

#include <cstdint>
#include <span>
#include <string_view>

namespace cyclamenrun
{

/** A metric that a process records. */
enum class metric : std::uint8_t {
    time_to_first_token,
    time_between_tokens,
    longest_wait,
    request_duration,
    request_tokens,
    call_duration,
    refusals,
    retries,
    resumes,
    log_append_duration,
};

struct metric_row {
    metric id;
    std::string_view name;
    std::string_view unit;
    std::string_view doc;
};

/** One row per metric, in the order of the enum. */
std::span<const metric_row> metric_table();

} // namespace cyclamenrun

#endif // CYCLAMENRUN_METRIC_HPP

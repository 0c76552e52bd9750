#ifndef CYCLAMENRUN_METRIC_HPP
#define CYCLAMENRUN_METRIC_HPP

#include <cstdint>
#include <span>
#include <string_view>

namespace cyclamenrun
{

/** What is measured, in processes of both roles. */
enum class metric : std::uint8_t {
    time_to_first_token,
    time_between_tokens,
    stall_time,
    queue_wait,
    request_duration,
    request_tokens,
    call_duration,
    dispatch_attempts,
    refusals,
    retries,
    resumes,
    preemptions,
    prefix_tokens_held,
    engine_memory_share,
    heartbeat_round_trip,
    log_append_duration,
    configuration_lag,
};

struct metric_row {
    metric what;
    std::string_view name;
    std::string_view unit;
    std::string_view doc;
};

/** All metrics in the order of the enum. */
std::span<const metric_row> metric_table();

} // namespace cyclamenrun

#endif // CYCLAMENRUN_METRIC_HPP

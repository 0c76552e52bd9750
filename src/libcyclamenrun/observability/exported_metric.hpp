#ifndef CYCLAMENRUN_EXPORTED_METRIC_HPP
#define CYCLAMENRUN_EXPORTED_METRIC_HPP

#include <cstdint>
#include <span>
#include <string_view>

namespace cyclamenrun
{

/** A metric that gateways and monitors serve at their metrics address. */
enum class exported_metric : std::uint8_t {
    requests,
    refusals,
    attempts,
    moves,
    backups,
    lost_runs,
    first_part_time,
    longest_pause,
    answer_time,
    upstream_time,
    start_wait,
    directory_time,
    directory_failures,
    unreadable_records,
    rejected_messages,
    directory_relayed,
    configuration_version,
    configuration_age,
    running,
    connections,
    unread_connections,
    refused_connections,
    open_sockets,
    loop_delay,
    upstreams,
    free_slots,
    free_memory,
    queued,
    retries_left,
    repeats,
    budget_gateways,
    peers,
    limited_upstreams,
    resting_upstreams,
    evacuated_domains,
    cold_upstreams,
    cold_sends,
    poison_requests,
    poison_parts,
    solo_runs,
    crashes_seen,
    mark_writes,
    input_rejected,
    input_bytes,
    dropped_log_lines,
    engine_running,
    engine_queued,
    engine_memory,
    gateways,
    starts_waiting,
    starts_deferred,
    step_time,
    engine_slow,
    start_grants,
    copy_turns,
    load_time,
    load_failures,
    relay_reads,
};

enum class exported_kind : std::uint8_t {
    counter,
    gauge,
    histogram, ///< of durations, in seconds
};

std::string_view name_of(exported_kind kind);

struct exported_metric_row {
    exported_metric id;
    std::string_view name;
    exported_kind kind;
    /** Comma-separated label names; empty for a metric without labels. */
    std::string_view labels;
    std::string_view doc;
};

/** One row per metric, in the order of the enum. */
std::span<const exported_metric_row> exported_metric_table();

} // namespace cyclamenrun

#endif // CYCLAMENRUN_EXPORTED_METRIC_HPP

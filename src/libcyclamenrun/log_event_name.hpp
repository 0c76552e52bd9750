#ifndef CYCLAMENRUN_LOG_EVENT_NAME_HPP
#define CYCLAMENRUN_LOG_EVENT_NAME_HPP

#include <cstdint>
#include <span>
#include <string_view>

namespace cyclamenrun
{

/** Every kind of line in the log; docs/operations.md lists them. */
enum class log_event_name : std::uint8_t {
    process_started,
    process_ready,
    process_not_ready,
    process_stopping,
    process_stopped,
    signal_received,
    settings_refused,
    request_started,
    request_finished,
    request_refused,
    request_retried,
    request_cancelled,
    generation_resumed,
    generation_lost,
    call_finished,
    ticket_minted,
    ticket_refused,
    caller_refused,
    caller_timed_out,
    operator_refused,
    change_accepted,
    change_conflicted,
    change_uncertain,
    configuration_applied,
    configuration_stale,
    snapshot_written,
    log_service_unavailable,
    log_service_recovered,
    vm_list_unavailable,
    vm_list_recovered,
    upstream_found,
    upstream_leaving,
    upstream_removed,
    upstream_lost,
    upstream_recovered,
    link_connected,
    link_closed,
    link_refused,
    drain_started,
    drain_finished,
    drain_timed_out,
    claim_made,
    claim_lost,
    order_given,
    order_refused,
    poison_marked,
    poison_refused,
    limit_reached,
    library_message,
    internal_error,
};

struct log_event_row {
    log_event_name event;
    std::string_view name;
    std::string_view doc;
};

/** All events in the order of the enum. */
std::span<const log_event_row> log_event_table();

std::string_view name_of(log_event_name event);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LOG_EVENT_NAME_HPP

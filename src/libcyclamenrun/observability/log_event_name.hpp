#ifndef CYCLAMENRUN_LOG_EVENT_NAME_HPP
#define CYCLAMENRUN_LOG_EVENT_NAME_HPP

#include <cstdint>
#include <span>
#include <string_view>

namespace cyclamenrun
{

/** The events that processes log; docs/OPERATIONS.md lists them. */
enum class log_event_name : std::uint8_t {
    process_started,
    listener_opened,
    listener_failed,
    process_ready,
    process_stopping,
    process_stopped,
    process_failed,
    log_lines_dropped,
    request_finished,
    request_refused,
    request_cancelled,
    request_admitted,
    start_found,
    start_unheard,
    start_passed_over,
    attempt_placed,
    attempt_ended,
    generation_resumed,
    ticket_minted,
    caller_refused,
    caller_timed_out,
    request_dropped,
    connections_refused,
    connections_accepted,
    operator_refused,
    change_accepted,
    change_conflicted,
    change_uncertain,
    change_invalid,
    change_refused,
    configuration_applied,
    configuration_stale,
    configuration_from_peer,
    log_service_unavailable,
    log_service_recovered,
    vm_list_unavailable,
    vm_list_recovered,
    vm_list_read,
    upstream_found,
    upstream_leaving,
    upstream_removed,
    upstream_lost,
    upstream_recovered,
    link_closed,
    drain_started,
    drain_finished,
    drain_timed_out,
    poison_marked,
    poison_convicted,
    poison_refused,
    order_given,
    order_refused,
    answer_cut,
    answer_late,
    generation_move_step,
    generation_moved,
    generation_move_failed,
    generation_continued,
    generation_backed_up,
    crash_seen,
    upstream_crashed,
    upstream_input_rejected,
    upstream_resting,
    upstream_said_leaving,
    upstream_limited,
    upstream_limit_lifted,
    upstream_cold,
    upstream_warm,
    limit_reached,
    domain_evacuated,
    evacuation_ended,
    directory_lost,
    directory_regained,
    marks_read,
    lease_ended,
    lease_renewed,
    record_unreadable,
    message_rejected,
    monitor_lost,
    monitor_regained,
    engine_slow,
    relay_lost,
    settings_reloaded,
    settings_unusable,
    library_message,
    internal_error,
};

struct log_event_row {
    log_event_name event;
    std::string_view name;
    std::string_view doc;
};

/** One row per event, in the order of the enum. */
std::span<const log_event_row> log_event_table();

std::string_view name_of(log_event_name event);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LOG_EVENT_NAME_HPP

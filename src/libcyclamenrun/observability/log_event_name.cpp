#include "log_event_name.hpp"

#include <array>

namespace cyclamenrun
{

namespace
{

constexpr std::array rows{
    log_event_row{log_event_name::process_started, "process_started",
                  "The process has started and read its settings."},
    log_event_row{log_event_name::listener_opened, "listener_opened",
                  "A listener is open; name identifies the listener."},
    log_event_row{
        log_event_name::listener_failed, "listener_failed",
        "A listener could not be opened; the process continues without it."},
    log_event_row{log_event_name::process_ready, "process_ready",
                  "The process serves requests: it has a configuration and its "
                  "listeners are open."},
    log_event_row{log_event_name::process_stopping, "process_stopping",
                  "A planned shutdown has begun."},
    log_event_row{log_event_name::process_stopped, "process_stopped",
                  "The process exits."},
    log_event_row{log_event_name::process_failed, "process_failed",
                  "The process ends by itself, by the signal that is named; "
                  "its requests end without an answer."},
    log_event_row{log_event_name::log_lines_dropped, "log_lines_dropped",
                  "Log lines were dropped because the budget was used up or "
                  "the reader is slow; counts by severity."},
    log_event_row{log_event_name::request_finished, "request_finished",
                  "A request was answered completely."},
    log_event_row{log_event_name::request_refused, "request_refused",
                  "A request ended with a typed refusal."},
    log_event_row{log_event_name::request_cancelled, "request_cancelled",
                  "The caller disconnected or cancelled the request."},
    log_event_row{log_event_name::request_admitted, "request_admitted",
                  "A request was matched with a route and a team of the "
                  "configuration's revision."},
    log_event_row{log_event_name::start_found, "start_found",
                  "A generation was granted a start at an engine; weighed is "
                  "the number of engines queried."},
    log_event_row{log_event_name::start_unheard, "start_unheard",
                  "No monitor responds; the gateway chooses the engine by its "
                  "own estimates."},
    log_event_row{log_event_name::start_passed_over, "start_passed_over",
                  "A late generation was skipped because its team occupies "
                  "more of the engines than other waiting teams."},
    log_event_row{log_event_name::attempt_placed, "attempt_placed",
                  "An upstream was chosen among the candidates compared; a "
                  "lower cost is better."},
    log_event_row{log_event_name::attempt_ended, "attempt_ended",
                  "An attempt at an upstream has ended; next is the action "
                  "that follows."},
    log_event_row{log_event_name::generation_resumed, "generation_resumed",
                  "A caller fetches the rest of a generation."},
    log_event_row{log_event_name::ticket_minted, "ticket_minted",
                  "A ticket for a non-idempotent call was issued."},
    log_event_row{log_event_name::caller_refused, "caller_refused",
                  "The data that a caller sent was not a valid request."},
    log_event_row{log_event_name::caller_timed_out, "caller_timed_out",
                  "A caller was too slow to send or to read. A gateway "
                  "names the bytes that were not read."},
    log_event_row{log_event_name::request_dropped, "request_dropped",
                  "Bytes of a request arrived on a connection that was being "
                  "closed and were not read as a request; reason says why it "
                  "was closed."},
    log_event_row{log_event_name::connections_refused, "connections_refused",
                  "New connections of callers are closed unread, since the "
                  "process lacks what reason names; callers try another "
                  "gateway."},
    log_event_row{
        log_event_name::connections_accepted, "connections_accepted",
        "No connection has been closed unread for five seconds; count were "
        "closed in duration_ms."},
    log_event_row{log_event_name::operator_refused, "operator_refused",
                  "An operator's call was refused, for example for an invalid "
                  "key or body."},
    log_event_row{log_event_name::change_accepted, "change_accepted",
                  "A change of configuration is in force at this entry."},
    log_event_row{
        log_event_name::change_conflicted, "change_conflicted",
        "A change conflicted with an earlier one and was not applied."},
    log_event_row{log_event_name::change_uncertain, "change_uncertain",
                  "The platform's log did not respond; the change may still "
                  "come into force."},
    log_event_row{log_event_name::change_invalid, "change_invalid",
                  "A change violates the rules of its resource."},
    log_event_row{log_event_name::change_refused, "change_refused",
                  "A change was not accepted: the entry is not ready, or too "
                  "many changes are pending."},
    log_event_row{log_event_name::configuration_applied,
                  "configuration_applied",
                  "This process has applied a newer revision."},
    log_event_row{log_event_name::configuration_stale, "configuration_stale",
                  "The log deleted records before they were read; the process "
                  "looks for a snapshot."},
    log_event_row{
        log_event_name::configuration_from_peer, "configuration_from_peer",
        "The log is unavailable or deleted unread records; this entry received "
        "its state from an agent."},
    log_event_row{log_event_name::log_service_unavailable,
                  "log_service_unavailable",
                  "The platform's log does not respond."},
    log_event_row{log_event_name::log_service_recovered,
                  "log_service_recovered",
                  "The platform's log responds again."},
    log_event_row{log_event_name::vm_list_unavailable, "vm_list_unavailable",
                  "The platform's list of VMs does not respond."},
    log_event_row{log_event_name::vm_list_recovered, "vm_list_recovered",
                  "The platform's list of VMs responds again."},
    log_event_row{
        log_event_name::vm_list_read, "vm_list_read",
        "The first list of VMs was read; count is the number of VMs."},
    log_event_row{
        log_event_name::upstream_found, "upstream_found",
        "The list of VMs contains a new VM or new data of a known one."},
    log_event_row{log_event_name::upstream_leaving, "upstream_leaving",
                  "The list of VMs marks a VM as leaving."},
    log_event_row{log_event_name::upstream_removed, "upstream_removed",
                  "A VM was removed from the list of VMs."},
    log_event_row{log_event_name::upstream_lost, "upstream_lost",
                  "An upstream or its agent does not respond."},
    log_event_row{log_event_name::upstream_recovered, "upstream_recovered",
                  "A lost upstream responds again."},
    log_event_row{log_event_name::link_closed, "link_closed",
                  "A link between an entry and an agent has ended."},
    log_event_row{log_event_name::drain_started, "drain_started",
                  "New work is not accepted; running work continues."},
    log_event_row{log_event_name::drain_finished, "drain_finished",
                  "All running work has ended."},
    log_event_row{log_event_name::drain_timed_out, "drain_timed_out",
                  "The drain timed out while work was still running. At a "
                  "gateway count callers had not read their answers' end, and "
                  "incomplete requests had been received in part."},
    log_event_row{log_event_name::poison_marked, "poison_marked",
                  "A request was marked as a suspect because its upstream was "
                  "lost while serving it."},
    log_event_row{log_event_name::poison_convicted, "poison_convicted",
                  "Several upstreams crashed while they ran requests with this "
                  "fingerprint, or prompts with a part of it; the gateway "
                  "refuses them."},
    log_event_row{
        log_event_name::poison_refused, "poison_refused",
        "A request is refused since `count` upstreams crashed under it "
        "or a part of its prompt; it may run again after "
        "`retry_after_ms`."},
    log_event_row{log_event_name::order_given, "order_given",
                  "The engine accepted an order; fence is its fencing number."},
    log_event_row{log_event_name::order_refused, "order_refused",
                  "The engine did not accept an order; the order is retried."},
    log_event_row{log_event_name::answer_cut, "answer_cut",
                  "An answer was cut off after its first part."},
    log_event_row{log_event_name::answer_late, "answer_late",
                  "A part of an answer arrived later than its route's target."},
    log_event_row{log_event_name::generation_move_step, "generation_move_step",
                  "A step of a move; kind is the step."},
    log_event_row{log_event_name::generation_moved, "generation_moved",
                  "A running generation continues at another engine."},
    log_event_row{log_event_name::generation_move_failed,
                  "generation_move_failed",
                  "An attempt to move a running generation failed."},
    log_event_row{log_event_name::generation_continued, "generation_continued",
                  "A generation continues from its backup copy after its "
                  "engine was lost."},
    log_event_row{
        log_event_name::generation_backed_up, "generation_backed_up",
        "A backup copy of a generation is kept at another engine and updated "
        "as the generation grows."},
    log_event_row{log_event_name::crash_seen, "crash_seen",
                  "An engine closed a stream without notice; the gateway "
                  "starts to keep backup copies."},
    log_event_row{log_event_name::upstream_crashed, "upstream_crashed",
                  "An upstream crashed while it had the request: it broke the "
                  "connection, and its host refuses a new one. Of the parts of "
                  "the prompt, recent_parts have run well here lately."},
    log_event_row{log_event_name::upstream_input_rejected,
                  "upstream_input_rejected",
                  "A response was dropped and its connection closed: it "
                  "exceeds a bound or has no content (`oversized`), or all "
                  "messages together exceed what the process may hold "
                  "(`no_room`); bytes is what its exchange holds."},
    log_event_row{
        log_event_name::upstream_resting, "upstream_resting",
        "An upstream turned a request away and wants no more requests of this "
        "process for duration_ms."},
    log_event_row{log_event_name::upstream_said_leaving,
                  "upstream_said_leaving",
                  "An upstream says in an answer that it leaves."},
    log_event_row{log_event_name::upstream_limited, "upstream_limited",
                  "An upstream names a limit in its answers: the requests a "
                  "second that it takes from all gateways together."},
    log_event_row{log_event_name::upstream_limit_lifted,
                  "upstream_limit_lifted",
                  "An upstream no longer names a limit."},
    log_event_row{
        log_event_name::upstream_cold, "upstream_cold",
        "An upstream is cold for duration_ms: from all gateways together, of "
        "which there may be count, it gets a bounded number of requests a "
        "second; limit is the rate of its service."},
    log_event_row{log_event_name::upstream_warm, "upstream_warm",
                  "An upstream is no longer cold."},
    log_event_row{
        log_event_name::limit_reached, "limit_reached",
        "All usable upstreams are at their limit; limit is that of the "
        "upstream that has room first, count the gateways that share it."},
    log_event_row{log_event_name::domain_evacuated, "domain_evacuated",
                  "A failure domain is evacuated: nothing more is sent to its "
                  "upstreams; age_ms is the time since the read that told it, "
                  "count the number of evacuated domains."},
    log_event_row{log_event_name::evacuation_ended, "evacuation_ended",
                  "The evacuation of a failure domain was cancelled; age_ms "
                  "and count are as for `domain_evacuated`."},
    log_event_row{log_event_name::directory_lost, "directory_lost",
                  "The platform's directory does not respond."},
    log_event_row{log_event_name::directory_regained, "directory_regained",
                  "The platform's directory responds again."},
    log_event_row{log_event_name::marks_read, "marks_read",
                  "The poison marks that outlasted the gateways before were "
                  "read from the platform's store; count is that of their "
                  "records."},
    log_event_row{
        log_event_name::lease_ended, "lease_ended",
        "The lease on the configuration has expired; the process serves "
        "nothing, since the configuration may be out of date."},
    log_event_row{log_event_name::lease_renewed, "lease_renewed",
                  "The lease on the configuration was renewed; the "
                  "configuration is current."},
    log_event_row{log_event_name::record_unreadable, "record_unreadable",
                  "A record of the directory cannot be read and was skipped."},
    log_event_row{log_event_name::message_rejected, "message_rejected",
                  "A message of another process was rejected: it does not "
                  "parse, or the number in `detail` is beyond its limits. "
                  "Logged once a second for each kind; `count` is the total."},
    log_event_row{log_event_name::monitor_lost, "monitor_lost",
                  "The monitor of an engine does not respond."},
    log_event_row{log_event_name::monitor_regained, "monitor_regained",
                  "The monitor of an engine responds again."},
    log_event_row{log_event_name::engine_slow, "engine_slow",
                  "The steps of the engine were far above their usual duration "
                  "for duration_ms, which has ended."},
    log_event_row{log_event_name::relay_lost, "relay_lost",
                  "A monitor that relays the directory to this gateway does "
                  "not respond; the gateway queries another one."},
    log_event_row{log_event_name::settings_reloaded, "settings_reloaded",
                  "The settings file has changed and was reloaded."},
    log_event_row{log_event_name::settings_unusable, "settings_unusable",
                  "The changed settings file has errors; the previous settings "
                  "stay in force."},
    log_event_row{log_event_name::library_message, "library_message",
                  "A text message that a library logged."},
    log_event_row{log_event_name::internal_error, "internal_error",
                  "A defect; please report it with the line."},
};

} // namespace

std::span<const log_event_row> log_event_table()
{
    return rows;
}

std::string_view name_of(log_event_name event)
{
    return rows.at(static_cast<std::size_t>(event)).name;
}

} // namespace cyclamenrun

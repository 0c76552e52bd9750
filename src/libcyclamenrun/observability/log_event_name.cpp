#include "log_event_name.hpp"

#include <array>

namespace cyclamenrun
{

namespace
{

constexpr std::array rows{
    log_event_row{log_event_name::process_started, "process_started",
                  "The process runs; its settings were read."},
    log_event_row{log_event_name::listener_opened, "listener_opened",
                  "A listener is open; name says for whom."},
    log_event_row{
        log_event_name::listener_failed, "listener_failed",
        "A listener could not be opened; the process goes on without it."},
    log_event_row{
        log_event_name::process_ready, "process_ready",
        "It serves: it has a configuration and its listeners are open."},
    log_event_row{log_event_name::process_stopping, "process_stopping",
                  "A planned stop has begun."},
    log_event_row{log_event_name::process_stopped, "process_stopped",
                  "The process ends."},
    log_event_row{log_event_name::log_lines_dropped, "log_lines_dropped",
                  "Lines were left out, by severity: over the budget, or the "
                  "reader is slow."},
    log_event_row{log_event_name::request_finished, "request_finished",
                  "A request was answered completely."},
    log_event_row{log_event_name::request_refused, "request_refused",
                  "A request ended with a typed refusal."},
    log_event_row{log_event_name::request_cancelled, "request_cancelled",
                  "The caller closed or gave up."},
    log_event_row{log_event_name::request_admitted, "request_admitted",
                  "A request was matched with route and team of a revision."},
    log_event_row{log_event_name::start_found, "start_found",
                  "An engine lets the generation start; so many were asked."},
    log_event_row{log_event_name::start_unheard, "start_unheard",
                  "No monitor answers; the gateway's own beliefs decide."},
    log_event_row{log_event_name::start_passed_over, "start_passed_over",
                  "It is late, and its team holds more of the engines than "
                  "teams that wait as well."},
    log_event_row{
        log_event_name::attempt_placed, "attempt_placed",
        "An upstream was chosen among those weighed; lower cost is better."},
    log_event_row{log_event_name::attempt_ended, "attempt_ended",
                  "An attempt at an upstream is over; next says what follows."},
    log_event_row{log_event_name::generation_resumed, "generation_resumed",
                  "A caller fetches the rest of a generation."},
    log_event_row{log_event_name::ticket_minted, "ticket_minted",
                  "A ticket for a non-idempotent call was given out."},
    log_event_row{log_event_name::caller_refused, "caller_refused",
                  "A caller's bytes were no acceptable request."},
    log_event_row{log_event_name::caller_timed_out, "caller_timed_out",
                  "A caller was too slow to send or to read."},
    log_event_row{log_event_name::operator_refused, "operator_refused",
                  "An operator's call had no valid key or no valid body."},
    log_event_row{log_event_name::change_accepted, "change_accepted",
                  "A change of configuration is in force at this entry."},
    log_event_row{log_event_name::change_conflicted, "change_conflicted",
                  "A change lost against another one."},
    log_event_row{log_event_name::change_uncertain, "change_uncertain",
                  "The log did not answer; the change may come into force."},
    log_event_row{log_event_name::change_invalid, "change_invalid",
                  "A change breaks the rules of its resource."},
    log_event_row{log_event_name::change_refused, "change_refused",
                  "A change was not taken in: not ready, or too many at once."},
    log_event_row{log_event_name::configuration_applied,
                  "configuration_applied",
                  "This process has a newer revision in force."},
    log_event_row{
        log_event_name::configuration_stale, "configuration_stale",
        "Records were gone from the log unread; a snapshot is looked for."},
    log_event_row{log_event_name::configuration_from_peer,
                  "configuration_from_peer",
                  "The log is out; an agent gave this entry its state."},
    log_event_row{log_event_name::log_service_unavailable,
                  "log_service_unavailable",
                  "The platform's log does not answer."},
    log_event_row{log_event_name::log_service_recovered,
                  "log_service_recovered", "The platform's log answers again."},
    log_event_row{log_event_name::vm_list_unavailable, "vm_list_unavailable",
                  "The platform's list of VMs does not answer."},
    log_event_row{log_event_name::vm_list_recovered, "vm_list_recovered",
                  "The platform's list of VMs answers again."},
    log_event_row{
        log_event_name::vm_list_read, "vm_list_read",
        "The first list of VMs was read; count says how many it names."},
    log_event_row{log_event_name::upstream_found, "upstream_found",
                  "The list names a new VM, or says something new of one."},
    log_event_row{log_event_name::upstream_leaving, "upstream_leaving",
                  "The list says that a VM is leaving."},
    log_event_row{log_event_name::upstream_removed, "upstream_removed",
                  "The list no longer names a VM."},
    log_event_row{log_event_name::upstream_lost, "upstream_lost",
                  "An upstream or its agent does not answer."},
    log_event_row{log_event_name::upstream_recovered, "upstream_recovered",
                  "A lost upstream answers again."},
    log_event_row{log_event_name::link_closed, "link_closed",
                  "A link between an entry and an agent has ended."},
    log_event_row{log_event_name::drain_started, "drain_started",
                  "No new work is taken; running work goes on."},
    log_event_row{log_event_name::drain_finished, "drain_finished",
                  "All running work has ended."},
    log_event_row{log_event_name::drain_timed_out, "drain_timed_out",
                  "The drain's time is over and work was still running."},
    log_event_row{log_event_name::poison_marked, "poison_marked",
                  "A request was running when its upstream was lost."},
    log_event_row{log_event_name::order_given, "order_given",
                  "The engine took an order; fence is its fencing number."},
    log_event_row{log_event_name::order_refused, "order_refused",
                  "The engine did not take an order; it is given again."},
    log_event_row{log_event_name::answer_cut, "answer_cut",
                  "An answer was broken off after its first part."},
    log_event_row{log_event_name::answer_late, "answer_late",
                  "A part of an answer came later than its route aims at."},
    log_event_row{log_event_name::generation_move_step, "generation_move_step",
                  "A step on the way to a move; kind says which."},
    log_event_row{log_event_name::generation_moved, "generation_moved",
                  "A running generation goes on at another engine."},
    log_event_row{log_event_name::generation_move_failed,
                  "generation_move_failed",
                  "A running generation could not be moved this time."},
    log_event_row{log_event_name::generation_continued, "generation_continued",
                  "A generation goes on from a copy after its engine's loss."},
    log_event_row{
        log_event_name::generation_backed_up, "generation_backed_up",
        "A copy of a generation is kept at another engine as it grows."},
    log_event_row{
        log_event_name::crash_seen, "crash_seen",
        "An engine broke off a stream without notice; copies are kept now."},
    log_event_row{log_event_name::directory_lost, "directory_lost",
                  "The platform's directory does not answer."},
    log_event_row{log_event_name::directory_regained, "directory_regained",
                  "The platform's directory answers again."},
    log_event_row{
        log_event_name::lease_ended, "lease_ended",
        "The configuration may be out of date; nothing is served on it."},
    log_event_row{log_event_name::lease_renewed, "lease_renewed",
                  "The configuration is surely current again."},
    log_event_row{log_event_name::record_unreadable, "record_unreadable",
                  "A record of the directory cannot be read and was skipped."},
    log_event_row{log_event_name::monitor_lost, "monitor_lost",
                  "The monitor beside an engine says nothing any more."},
    log_event_row{log_event_name::monitor_regained, "monitor_regained",
                  "The monitor beside an engine is heard again."},
    log_event_row{log_event_name::relay_lost, "relay_lost",
                  "A monitor that read the directory for this gateway does "
                  "not answer; another one is asked."},
    log_event_row{log_event_name::settings_reloaded, "settings_reloaded",
                  "The settings file has changed and was read again."},
    log_event_row{log_event_name::settings_unusable, "settings_unusable",
                  "The changed settings file has errors; the old holds."},
    log_event_row{log_event_name::library_message, "library_message",
                  "A line from a library, kept as text."},
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

#include "exported_metric.hpp"

#include <array>

namespace cyclamenrun
{

namespace
{

constexpr std::array rows{
    exported_metric_row{exported_metric::requests, "cyclamenrun_requests_total",
                        exported_kind::counter, "route,service,outcome",
                        "Completed requests."},
    exported_metric_row{
        exported_metric::refusals, "cyclamenrun_refusals_total",
        exported_kind::counter, "reason",
        "Refusals that the gateway answered instead of an upstream."},
    exported_metric_row{exported_metric::attempts, "cyclamenrun_attempts_total",
                        exported_kind::counter, "service,result",
                        "Completed attempts at upstreams."},
    exported_metric_row{exported_metric::moves, "cyclamenrun_moves_total",
                        exported_kind::counter, "service,result",
                        "Moves of running generations, completed or failed."},
    exported_metric_row{exported_metric::backups, "cyclamenrun_backups_total",
                        exported_kind::counter, "service",
                        "Generations of which a backup copy was kept."},
    exported_metric_row{
        exported_metric::lost_runs, "cyclamenrun_lost_runs_total",
        exported_kind::counter, "service,end",
        "Generations whose connection was lost and that could go on without "
        "it, by how their end became known, or `unknown`."},
    exported_metric_row{
        exported_metric::first_part_time, "cyclamenrun_first_part_seconds",
        exported_kind::histogram, "route",
        "From the arrival of a request to the first part of its answer."},
    exported_metric_row{exported_metric::longest_pause,
                        "cyclamenrun_longest_pause_seconds",
                        exported_kind::histogram, "route",
                        "Longest time between two parts of one answer."},
    exported_metric_row{
        exported_metric::answer_time, "cyclamenrun_answer_seconds",
        exported_kind::histogram, "route",
        "From the arrival of a request to the end of its answer."},
    exported_metric_row{
        exported_metric::upstream_time, "cyclamenrun_upstream_seconds",
        exported_kind::histogram, "service",
        "From sending a request to an upstream to the end of the attempt."},
    exported_metric_row{
        exported_metric::start_wait, "cyclamenrun_start_wait_seconds",
        exported_kind::histogram, "service",
        "From the first start request of a generation to its start grant."},
    exported_metric_row{exported_metric::directory_time,
                        "cyclamenrun_directory_call_seconds",
                        exported_kind::histogram, "feed",
                        "Duration of calls to the directory, including the "
                        "time for which it holds long polls."},
    exported_metric_row{exported_metric::directory_failures,
                        "cyclamenrun_directory_failures_total",
                        exported_kind::counter, "feed,reason",
                        "Failed calls to the directory."},
    exported_metric_row{exported_metric::unreadable_records,
                        "cyclamenrun_unreadable_records_total",
                        exported_kind::counter, "feed",
                        "Records of the directory that were skipped because "
                        "they cannot be read."},
    exported_metric_row{exported_metric::rejected_messages,
                        "cyclamenrun_messages_rejected_total",
                        exported_kind::counter, "message,reason",
                        "Messages of other processes that were rejected "
                        "because they do not parse or a number in them is "
                        "beyond its limits."},
    exported_metric_row{
        exported_metric::directory_relayed,
        "cyclamenrun_directory_relayed_total", exported_kind::counter, "feed",
        "Reads of the directory that a monitor relayed for this gateway."},
    exported_metric_row{exported_metric::configuration_version,
                        "cyclamenrun_configuration_version",
                        exported_kind::gauge, "",
                        "Version of the configuration in use."},
    exported_metric_row{
        exported_metric::configuration_age,
        "cyclamenrun_configuration_age_seconds", exported_kind::gauge, "",
        "Time since the configuration was last confirmed to be current."},
    exported_metric_row{exported_metric::running,
                        "cyclamenrun_requests_running", exported_kind::gauge,
                        "", "Requests in progress."},
    exported_metric_row{exported_metric::connections,
                        "cyclamenrun_caller_connections", exported_kind::gauge,
                        "", "Open connections of callers."},
    exported_metric_row{
        exported_metric::unread_connections, "cyclamenrun_unread_connections",
        exported_kind::gauge, "",
        "Open connections of callers of which nothing has been read yet."},
    exported_metric_row{
        exported_metric::refused_connections,
        "cyclamenrun_connections_refused_total", exported_kind::counter,
        "reason",
        "Connections of callers that were closed unread, by what was short."},
    exported_metric_row{exported_metric::open_sockets,
                        "cyclamenrun_open_sockets", exported_kind::gauge, "",
                        "Open sockets of the process."},
    exported_metric_row{
        exported_metric::loop_delay, "cyclamenrun_loop_delay_seconds",
        exported_kind::gauge, "",
        "Longest delay of a timer since the metrics were last read."},
    exported_metric_row{exported_metric::upstreams, "cyclamenrun_upstreams",
                        exported_kind::gauge, "service",
                        "Upstreams that accept new work."},
    exported_metric_row{
        exported_metric::free_slots, "cyclamenrun_believed_free_slots",
        exported_kind::gauge, "service",
        "Estimated free slots of the upstreams that accept new work."},
    exported_metric_row{
        exported_metric::free_memory, "cyclamenrun_believed_free_memory_tokens",
        exported_kind::gauge, "service",
        "Estimated free memory of the upstreams that accept new work."},
    exported_metric_row{exported_metric::queued, "cyclamenrun_believed_queued",
                        exported_kind::gauge, "service",
                        "Estimated number of requests queued at the upstreams "
                        "that accept new work."},
    exported_metric_row{exported_metric::retries_left,
                        "cyclamenrun_retries_left", exported_kind::gauge,
                        "service",
                        "Retries that the retry budget currently allows."},
    exported_metric_row{exported_metric::repeats, "cyclamenrun_repeats_total",
                        exported_kind::counter, "service,kind",
                        "Sends of requests that may have arrived before, by "
                        "what made them necessary."},
    exported_metric_row{
        exported_metric::budget_gateways, "cyclamenrun_retry_budget_gateways",
        exported_kind::gauge, "",
        "Gateways by which the fixed part of the retry budget is divided."},
    exported_metric_row{exported_metric::peers, "cyclamenrun_peers",
                        exported_kind::gauge, "",
                        "Other gateways that this gateway exchanges with."},
    exported_metric_row{exported_metric::limited_upstreams,
                        "cyclamenrun_limited_upstreams", exported_kind::gauge,
                        "", "Upstreams that name a limit in their answers."},
    exported_metric_row{exported_metric::resting_upstreams,
                        "cyclamenrun_resting_upstreams", exported_kind::gauge,
                        "", "Upstreams that have asked this gateway for rest."},
    exported_metric_row{exported_metric::evacuated_domains,
                        "cyclamenrun_evacuated_domains", exported_kind::gauge,
                        "",
                        "Failure domains that are evacuated, as far as this "
                        "gateway knows."},
    exported_metric_row{exported_metric::cold_upstreams,
                        "cyclamenrun_cold_upstreams", exported_kind::gauge, "",
                        "Upstreams that are cold and limited."},
    exported_metric_row{
        exported_metric::cold_sends, "cyclamenrun_cold_sends_total",
        exported_kind::counter, "service,kind",
        "Requests sent to cold upstreams: `in_share`, or `in_debt` if they had "
        "to be sent without room."},
    exported_metric_row{
        exported_metric::poison_requests, "cyclamenrun_poison_requests",
        exported_kind::gauge, "",
        "Requests that are refused because upstreams crashed under them."},
    exported_metric_row{
        exported_metric::poison_parts, "cyclamenrun_poison_parts",
        exported_kind::gauge, "",
        "Parts of prompts whose requests are refused because upstreams crashed "
        "under them."},
    exported_metric_row{
        exported_metric::solo_runs, "cyclamenrun_solo_runs_total",
        exported_kind::counter, "service,kind",
        "Sends of requests under which, or under a part of whose prompt, "
        "upstreams have crashed: `solo` or `trial`."},
    exported_metric_row{exported_metric::crashes_seen,
                        "cyclamenrun_requests_crashed_total",
                        exported_kind::counter, "service",
                        "Attempts that ended because their upstream crashed."},
    exported_metric_row{
        exported_metric::mark_writes, "cyclamenrun_mark_writes_total",
        exported_kind::counter, "result",
        "Writes of poison marks to the platform's store: `kept` if it has "
        "acknowledged them, or `failed`."},
    exported_metric_row{
        exported_metric::input_rejected, "cyclamenrun_input_rejected_total",
        exported_kind::counter, "sender,reason",
        "Messages that were rejected while they were read, of callers or of "
        "upstreams."},
    exported_metric_row{exported_metric::input_bytes, "cyclamenrun_input_bytes",
                        exported_kind::gauge, "state",
                        "Bytes of messages that the process holds, and the "
                        "limit of them."},
    exported_metric_row{exported_metric::dropped_log_lines,
                        "cyclamenrun_log_lines_dropped_total",
                        exported_kind::counter, "severity",
                        "Log lines that were dropped."},
    exported_metric_row{exported_metric::engine_running,
                        "cyclamenrun_engine_running", exported_kind::gauge, "",
                        "Requests running at the engine."},
    exported_metric_row{exported_metric::engine_queued,
                        "cyclamenrun_engine_queued", exported_kind::gauge, "",
                        "Requests queued at the engine."},
    exported_metric_row{
        exported_metric::engine_memory, "cyclamenrun_engine_memory_tokens",
        exported_kind::gauge, "state", "Memory of the engine, used and total."},
    exported_metric_row{exported_metric::gateways, "cyclamenrun_gateways",
                        exported_kind::gauge, "",
                        "Gateways that receive the reports of this monitor."},
    exported_metric_row{exported_metric::starts_waiting,
                        "cyclamenrun_starts_waiting", exported_kind::gauge, "",
                        "Generations that wait for a start grant at this "
                        "engine or at another one."},
    exported_metric_row{exported_metric::starts_deferred,
                        "cyclamenrun_starts_deferred", exported_kind::gauge, "",
                        "1 while a start waits so that the streams that run at "
                        "the engine stay on time."},
    exported_metric_row{exported_metric::step_time, "cyclamenrun_step_seconds",
                        exported_kind::gauge, "kind",
                        "Usual duration of a step of the engine: `decode` or, "
                        "beside a prompt, `prefill`; 0: not known."},
    exported_metric_row{exported_metric::engine_slow, "cyclamenrun_engine_slow",
                        exported_kind::gauge, "",
                        "1 while the engine's steps are far above their usual "
                        "duration."},
    exported_metric_row{exported_metric::start_grants,
                        "cyclamenrun_starts_total", exported_kind::counter, "",
                        "Start grants, used or not."},
    exported_metric_row{exported_metric::copy_turns,
                        "cyclamenrun_copy_turns_total", exported_kind::counter,
                        "", "Copy turns granted for generations."},
    exported_metric_row{exported_metric::load_time,
                        "cyclamenrun_load_call_seconds",
                        exported_kind::histogram, "",
                        "Duration of polls of the engine's load."},
    exported_metric_row{
        exported_metric::load_failures, "cyclamenrun_load_failures_total",
        exported_kind::counter, "", "Polls of the engine's load that failed."},
    exported_metric_row{
        exported_metric::relay_reads, "cyclamenrun_relay_reads_total",
        exported_kind::counter, "feed",
        "Reads of the directory that this monitor relayed for gateways."},
};

} // namespace

std::span<const exported_metric_row> exported_metric_table()
{
    return rows;
}

std::string_view name_of(exported_kind kind)
{
    switch (kind) {
    case exported_kind::counter:
        return "counter";
    case exported_kind::gauge:
        return "gauge";
    case exported_kind::histogram:
        return "histogram";
    }
    return "other";
}

} // namespace cyclamenrun

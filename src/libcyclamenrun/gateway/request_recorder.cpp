#include "request_recorder.hpp"

#include "prompt_parts.hpp"
#include "request_fingerprint.hpp"

namespace cyclamenrun
{

void request_recorder::admitted(const admitted_request& request,
                                std::uint64_t revision,
                                milliseconds configuration_age,
                                milliseconds time_left,
                                const request_facts& facts,
                                std::uint64_t fingerprint)
{
    trace_.record(
        log_event_name::request_admitted,
        {{log_key::route, request.route->name},
         {log_key::team, request.team ? request.team->name : ""},
         {log_key::revision, revision},
         {log_key::age_ms, configuration_age},
         {log_key::deadline_ms, time_left},
         {log_key::tokens, facts.prompt_tokens},
         {log_key::output_tokens, facts.output_token_limit},
         {log_key::expected_tokens, facts.expected_output_tokens.value_or(0)},
         {log_key::fingerprint, fingerprint_text(fingerprint)},
         {log_key::prompt_parts, prompt_parts_text(facts.prompt_parts)}});
}

void request_recorder::placed(const placed_upstream& upstream)
{
    trace_.record(log_event_name::attempt_placed, fields_of(upstream));
}

void request_recorder::start_found(const std::string& service,
                                   const std::string& upstream,
                                   std::size_t requested, milliseconds took)
{
    metrics_.observe(exported_metric::start_wait, {service}, took);
    trace_.record(log_event_name::start_found, {{log_key::upstream, upstream},
                                                {log_key::weighed, requested},
                                                {log_key::duration_ms, took}});
}

void request_recorder::start_unanswered(std::size_t requested)
{
    trace_.record(log_event_name::start_unheard,
                  {{log_key::weighed, requested}});
}

void request_recorder::start_passed_over(std::size_t requested)
{
    trace_.record(log_event_name::start_passed_over,
                  {{log_key::weighed, requested}});
}

void request_recorder::over_limit(const std::string& upstream,
                                  std::optional<double> limit,
                                  std::size_t gateways)
{
    trace_.record(log_event_name::limit_reached,
                  {{log_key::upstream, upstream},
                   {log_key::limit, limit.value_or(-1)},
                   {log_key::count, gateways}});
}

void request_recorder::poison_refused(const poison_grounds& why,
                                      const std::string& part_id,
                                      milliseconds to_trial)
{
    trace_.record(log_event_name::poison_refused,
                  {{log_key::kind, rule_of(why.kind).name},
                   {log_key::fingerprint, fingerprint_text(why.fingerprint)},
                   {log_key::prompt_parts, part_id},
                   {log_key::count, why.losses},
                   {log_key::retry_after_ms, to_trial}});
}

void request_recorder::sent_solo(const std::string& service, bool on_trial)
{
    metrics_.count(exported_metric::solo_runs,
                   {service, on_trial ? "trial" : "solo"});
}

void request_recorder::sent_cold(const std::string& service, bool has_room)
{
    metrics_.count(exported_metric::cold_sends,
                   {service, has_room ? "in_share" : "in_debt"});
}

void request_recorder::repeated(const std::string& service, bool continues)
{
    metrics_.count(exported_metric::repeats,
                   {service, continues ? "continuation" : "retry"});
}

void request_recorder::attempt_ended(const attempt& ended,
                                     std::string_view result,
                                     std::string_view next)
{
    metrics_.count(exported_metric::attempts,
                   {ended.service, std::string(result)});
    metrics_.observe(exported_metric::upstream_time, {ended.service},
                     ended.took);
    trace_.record(log_event_name::attempt_ended,
                  {{log_key::upstream, ended.upstream},
                   {log_key::version, ended.version},
                   {log_key::attempt, ended.number},
                   {log_key::reason, result},
                   {log_key::status, ended.status},
                   {log_key::duration_ms, ended.took},
                   {log_key::retries_left, ended.retries_left},
                   {log_key::next, next}});
}

void request_recorder::record_late_part(const answer_relay::progress& progress,
                                        const std::string& upstream,
                                        std::uint64_t events)
{
    if (!progress.late_pause)
        return;
    trace_.mark_late();
    trace_.record(log_event_name::answer_late,
                  {{log_key::kind, progress.was_first ? "first" : "pause"},
                   {log_key::duration_ms, *progress.late_pause},
                   {log_key::upstream, upstream},
                   {log_key::count, events}});
}

void request_recorder::backed_up(const std::string& service,
                                 const std::string& upstream)
{
    metrics_.count(exported_metric::backups, {service});
    trace_.record(log_event_name::generation_backed_up,
                  {{log_key::upstream, upstream}});
}

void request_recorder::move_step_taken(move_step step,
                                       const std::string& upstream)
{
    trace_.record(
        log_event_name::generation_move_step,
        {{log_key::kind, name_of(step)}, {log_key::upstream, upstream}});
}

void request_recorder::move_ended(const std::string& service,
                                  const std::string& from,
                                  const std::string& to,
                                  std::optional<move_failure> failure)
{
    const auto result = failure ? name_of(*failure) : "moved";
    metrics_.count(exported_metric::moves, {service, std::string(result)});
    trace_.record(failure ? log_event_name::generation_move_failed
                          : log_event_name::generation_moved,
                  {{log_key::name, from},
                   {log_key::upstream, to},
                   {log_key::reason, result}});
}

void request_recorder::lost_run_ended(const std::string& service,
                                      std::optional<run_end> end)
{
    metrics_.count(exported_metric::lost_runs,
                   {service, std::string(end ? name_of(*end) : "unknown")});
}

void request_recorder::resumed_from_backup(const std::string& service,
                                           const std::string& upstream)
{
    metrics_.count(exported_metric::moves, {service, "from_backup"});
    trace_.record(log_event_name::generation_continued,
                  {{log_key::upstream, upstream}});
}

void request_recorder::ended(const std::string& request_id,
                             const request_summary& summary)
{
    const auto& row = row_of(summary.outcome);
    trace_.end(request_id, row.severity, row.event, fields_of(summary));
    record_metrics(metrics_, summary);
}

} // namespace cyclamenrun

#include "request_summary.hpp"

namespace cyclamenrun
{

namespace
{

/** Logged for a time that is not known. */
constexpr milliseconds none{-1};

} // namespace

std::vector<log_field> fields_of(const request_summary& summary)
{
    return {{log_key::reason, summary.reason},
            {log_key::status, summary.status},
            {log_key::route, summary.route},
            {log_key::service, summary.service},
            {log_key::team, summary.team},
            {log_key::upstream, summary.upstream},
            {log_key::attempt, summary.sends},
            {log_key::revision, summary.revision},
            {log_key::age_ms, summary.configuration_age},
            {log_key::first_ms, summary.time_to_first_part.value_or(none)},
            {log_key::longest_pause_ms, summary.longest_pause},
            {log_key::duration_ms, summary.took},
            {log_key::count, summary.events},
            {log_key::framing, name_of(summary.framing)},
            {log_key::bytes, summary.partial_event_bytes}};
}

void record_metrics(exported_metrics& metrics, const request_summary& summary)
{
    metrics.count(exported_metric::requests,
                  {summary.route, summary.service,
                   std::string(row_of(summary.outcome).name)});
    metrics.observe(exported_metric::answer_time, {summary.route},
                    summary.took);
    if (summary.outcome == request_outcome::refused)
        metrics.count(exported_metric::refusals, {std::string(summary.reason)});
    if (!summary.time_to_first_part)
        return;
    metrics.observe(exported_metric::first_part_time, {summary.route},
                    *summary.time_to_first_part);
    metrics.observe(exported_metric::longest_pause, {summary.route},
                    summary.longest_pause);
}

std::vector<log_field> fields_of(const placed_upstream& placed)
{
    return {{log_key::upstream, placed.record.id},
            {log_key::weighed, placed.weighed},
            {log_key::cost, placed.cost},
            {log_key::second_cost, placed.second_cost.value_or(-1)},
            {log_key::wait_taken, placed.candidate.wait},
            {log_key::slots_taken, placed.candidate.slots_taken},
            {log_key::memory_taken, placed.candidate.memory_taken},
            {log_key::load_age_ms, placed.load_age.value_or(none)}};
}

} // namespace cyclamenrun

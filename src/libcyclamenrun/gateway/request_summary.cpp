#include "request_summary.hpp"

namespace cyclamenrun
{

namespace
{

/** Logged for a time that is not known. */
constexpr milliseconds none{-1};

} // namespace

std::vector<log_field> fields_of(const request_summary& report)
{
    return {{log_key::reason, report.reason},
            {log_key::status, report.status},
            {log_key::route, report.route},
            {log_key::service, report.service},
            {log_key::team, report.team},
            {log_key::upstream, report.upstream},
            {log_key::attempt, report.sends},
            {log_key::revision, report.revision},
            {log_key::age_ms, report.configuration_age},
            {log_key::first_ms, report.time_to_first_part.value_or(none)},
            {log_key::longest_pause_ms, report.longest_pause},
            {log_key::duration_ms, report.took},
            {log_key::count, report.events}};
}

void record_metrics(exported_metrics& metrics, const request_summary& report)
{
    metrics.count(exported_metric::requests,
                  {report.route, report.service,
                   std::string(row_of(report.outcome).name)});
    metrics.observe(exported_metric::answer_time, {report.route}, report.took);
    if (report.outcome == request_outcome::refused)
        metrics.count(exported_metric::refusals, {std::string(report.reason)});
    if (!report.time_to_first_part)
        return;
    metrics.observe(exported_metric::first_part_time, {report.route},
                    *report.time_to_first_part);
    metrics.observe(exported_metric::longest_pause, {report.route},
                    report.longest_pause);
}

std::vector<log_field> fields_of(const placed_upstream& placed)
{
    return {{log_key::upstream, placed.record.id},
            {log_key::weighed, placed.weighed},
            {log_key::cost, placed.cost},
            {log_key::second_cost, placed.second_cost.value_or(-1)},
            {log_key::wait_taken, placed.place.wait},
            {log_key::slots_taken, placed.place.slots_taken},
            {log_key::memory_taken, placed.place.memory_taken},
            {log_key::load_age_ms, placed.load_age.value_or(none)}};
}

} // namespace cyclamenrun

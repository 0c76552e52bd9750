#include "logging_platform_log.hpp"

#include "log_event.hpp"
#include "metrics.hpp"

namespace cyclamenrun
{

namespace
{

/** Whether the service itself has failed, not only this call. */
bool is_outage(const log_error& error)
{
    return error.failure == log_failure::unavailable ||
           error.failure == log_failure::timed_out ||
           error.failure == log_failure::malformed;
}

} // namespace

logging_platform_log::logging_platform_log(platform_log& log,
                                           metrics& recorded_metrics,
                                           clock_function clock)
    : log_(log), metrics_(recorded_metrics), clock_(std::move(clock))
{
}

tl::expected<std::uint64_t, log_error>
logging_platform_log::append(std::string_view data)
{
    const auto started_at = clock_();
    auto answer = log_.append(data);
    log_availability(answer ? nullptr : &answer.error());
    if (answer)
        metrics_.record(metric::log_append_duration, clock_() - started_at,
                        clock_());
    return answer;
}

tl::expected<log_page, log_error> logging_platform_log::read(std::uint64_t from,
                                                             std::uint32_t max,
                                                             milliseconds wait)
{
    auto answer = log_.read(from, max, wait);
    log_availability(answer ? nullptr : &answer.error());
    return answer;
}

void logging_platform_log::log_availability(const log_error* error)
{
    if (error != nullptr && error->failure == log_failure::retained_away)
        log_event(log_severity::warning, log_event_name::configuration_stale,
                  {{log_key::offset, error->first_retained}});
    const bool available = error == nullptr || !is_outage(*error);
    if (available_.exchange(available) == available)
        return;
    if (available)
        log_event(log_severity::info, log_event_name::log_service_recovered);
    else
        log_event(log_severity::warning,
                  log_event_name::log_service_unavailable,
                  {{log_key::reason, name_of(error->failure)}});
}

} // namespace cyclamenrun

#include "outcome_metrics.hpp"

#include "metrics.hpp"
#include "relay_request.hpp"
#include "relay_runner.hpp"

namespace cyclamenrun
{

namespace
{

constexpr double one = 1;

void record_complete(metrics& measured, const relay_request& request,
                     const relay_result& result, time_point started_at,
                     time_point now)
{
    const bool is_call = request.kind == link::WORK_KIND_CALL;
    measured.record(is_call ? metric::call_duration : metric::request_duration,
                    now - started_at, now);
    if (!is_call)
        measured.record(metric::request_tokens,
                        static_cast<double>(result.tokens), now);
}

} // namespace

void record_outcome(metrics& measured, const relay_request& request,
                    const relay_result& result, time_point started_at,
                    time_point now)
{
    if (request.resume_after)
        measured.record(metric::resumes, one, now);
    for (int attempt = 1; attempt < result.attempts; ++attempt)
        measured.record(metric::retries, one, now);
    if (result.refused)
        measured.record(metric::refusals, one, now);
    if (result.complete)
        record_complete(measured, request, result, started_at, now);
    if (result.first_token_at && !request.resume_after)
        measured.record(metric::time_to_first_token,
                        *result.first_token_at - started_at, now);
}

} // namespace cyclamenrun

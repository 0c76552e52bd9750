#ifndef CYCLAMENRUN_OUTCOME_METRICS_HPP
#define CYCLAMENRUN_OUTCOME_METRICS_HPP

#include "clock.hpp"

namespace cyclamenrun
{

class metrics;
struct relay_request;
struct relay_result;

/** Records the result of a request that arrived at `started_at`. */
void record_outcome(metrics& measured, const relay_request& request,
                    const relay_result& result, time_point started_at,
                    time_point now);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_OUTCOME_METRICS_HPP

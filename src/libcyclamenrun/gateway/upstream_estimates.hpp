#ifndef CYCLAMENRUN_UPSTREAM_ESTIMATES_HPP
#define CYCLAMENRUN_UPSTREAM_ESTIMATES_HPP

#include "upstream_registry.hpp"

namespace cyclamenrun
{

/** An older load is not used; the gateway's own counts are used instead. */
inline constexpr milliseconds load_lifetime{1500};

/** Load of an upstream as far as this gateway can tell. */
struct load_estimate {
    double requests = 0;
    double prefill_backlog_ms = 0; ///< of the prompts ahead of a new one
    double memory_tokens = 0;
};

/**
 * Estimates the load from the latest report and this gateway's dispatches
 * since, or from the gateway's own counts alone if the report is old or
 * missing. The sizes of the running requests are unknown, so each is assumed to
 * equal the request to be placed.
 */
load_estimate estimate_load(const upstream_state& upstream,
                            const placement_request& request, time_point now);

/** The upstream's moving average of failures, decayed until now. */
double failure_rate_at(const upstream_state& upstream, time_point now);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_UPSTREAM_ESTIMATES_HPP

#include "upstream_estimates.hpp"

#include "prefill_speed.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cyclamenrun
{

namespace
{

/** Time in which a failure rate halves without further results. */
constexpr milliseconds failure_half_life{2000};
/** Average share of its output that a running request has not yet produced. */
constexpr double remaining_output_share = 0.5;

double unreported_tokens(const upstream_state& upstream)
{
    return std::accumulate(
        upstream.unreported.begin(), upstream.unreported.end(), 0.0,
        [](double sum, const auto& dispatch) {
            return sum + static_cast<double>(dispatch.prompt_tokens);
        });
}

double prefill_ms(const upstream_state& upstream, double tokens)
{
    const bool reported =
        upstream.load && upstream.load->prefill_tokens_per_ms > 0;
    return tokens / (reported ? upstream.load->prefill_tokens_per_ms
                              : prefill_speed::prior_tokens_per_ms);
}

} // namespace

bool has_fresh_load(const upstream_state& upstream, time_point now)
{
    return upstream.load && now - upstream.load_at <= load_lifetime;
}

double failure_rate_at(const upstream_state& upstream, time_point now)
{
    const auto half_lives =
        std::chrono::duration<double>(now - upstream.failure_rate_updated_at) /
        std::chrono::duration<double>(failure_half_life);
    return upstream.failure_rate * std::exp2(-std::max(0.0, half_lives));
}

load_estimate estimate_load(const upstream_state& upstream,
                            const placement_request& request, time_point now)
{
    load_estimate result;
    const bool fresh = has_fresh_load(upstream, now);
    const double unreported = unreported_tokens(upstream);
    const double remaining_output =
        static_cast<double>(request.output_tokens) * remaining_output_share;
    if (!fresh) {
        // For the memory, assumes that each other gateway sends as many
        // requests as this one.
        result.requests = upstream.own_running;
        result.memory_tokens =
            result.requests * request.gateways *
            (static_cast<double>(request.prompt_tokens) + remaining_output);
        result.prefill_backlog_ms = prefill_ms(upstream, unreported);
        return result;
    }
    const auto& load = *upstream.load;
    result.requests = static_cast<double>(load.running + load.queued +
                                          upstream.unreported.size());
    result.prefill_backlog_ms =
        static_cast<double>(load.prefill_backlog.count()) +
        prefill_ms(upstream, unreported);
    // A load that the engine itself reported has no prefill times, only the
    // number of waiting requests.
    if (load.prefill_tokens_per_ms <= 0)
        result.prefill_backlog_ms += prefill_ms(
            upstream, static_cast<double>((load.starting + load.queued) *
                                          request.prompt_tokens));
    result.memory_tokens = static_cast<double>(load.memory_used) + unreported +
                           load.running * remaining_output;
    return result;
}

placement_candidate placement_of(const upstream_state& upstream,
                                 const placement_request& request,
                                 time_point now)
{
    placement_candidate candidate;
    candidate.same_failure_domain =
        upstream.record.failure_domain == request.from_domain;
    candidate.failure_rate = failure_rate_at(upstream, now);
    candidate.unconfirmed = upstream.unconfirmed_until.has_value();
    candidate.unreachable = now < upstream.unreachable_until;
    const auto load = estimate_load(upstream, request, now);
    const double slots = std::max(1U, upstream.record.slots);
    candidate.slots_taken = (load.requests + 1) / slots;
    if (request.engine_memory_tokens == 0)
        return candidate;
    const double objective = static_cast<double>(
        std::max(request.objective, milliseconds(1)).count());
    candidate.wait = load.prefill_backlog_ms / objective;
    candidate.memory_taken =
        (load.memory_tokens +
         static_cast<double>(request.prompt_tokens + request.output_tokens)) /
        static_cast<double>(request.engine_memory_tokens);
    return candidate;
}

milliseconds estimated_time_to_first_part(const upstream_state& upstream,
                                          const placement_request& request,
                                          time_point now)
{
    if (request.engine_memory_tokens == 0 || !upstream.load)
        return milliseconds(0);
    const double ms =
        estimate_load(upstream, request, now).prefill_backlog_ms +
        prefill_ms(upstream, static_cast<double>(request.prompt_tokens));
    return milliseconds(std::llround(ms));
}

} // namespace cyclamenrun

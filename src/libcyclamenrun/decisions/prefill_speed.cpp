#include "prefill_speed.hpp"

#include <algorithm>
#include <cmath>

namespace cyclamenrun
{

namespace
{

/**
 * Prefill time after which a sample's weight is 1/e. It spans some ten prompts,
 * so that no single prompt dominates the estimate.
 */
constexpr double decay_ms = 5000;
/** Largest plausible factor between the prior and an engine's speed. */
constexpr double max_factor_from_prior = 50;

} // namespace

void prefill_speed::record_prefill_time(duration time)
{
    const double ms = std::chrono::duration<double, std::milli>(time).count();
    if (ms <= 0)
        return;
    const double decay = std::exp(-ms / decay_ms);
    tokens_ *= decay;
    prefill_ms_ = prefill_ms_ * decay + ms;
}

double prefill_speed::tokens_per_ms() const
{
    return std::clamp(tokens_ / prefill_ms_,
                      prior_tokens_per_ms / max_factor_from_prior,
                      prior_tokens_per_ms * max_factor_from_prior);
}

} // namespace cyclamenrun

#include "reading_speed.hpp"

#include <algorithm>
#include <cmath>

namespace cyclamenrun
{

namespace
{

/** Reading time after which a sample's weight is 1/e: some ten prompts. */
constexpr double memory_ms = 5000;
/** Largest plausible factor between the prior and an engine's speed. */
constexpr double most_apart = 50;

} // namespace

void reading_speed::was_busy(duration time)
{
    const double ms = std::chrono::duration<double, std::milli>(time).count();
    if (ms <= 0)
        return;
    const double kept = std::exp(-ms / memory_ms);
    tokens_ *= kept;
    busy_ms_ = busy_ms_ * kept + ms;
}

double reading_speed::tokens_per_ms() const
{
    return std::clamp(tokens_ / busy_ms_, prior_tokens_per_ms / most_apart,
                      prior_tokens_per_ms * most_apart);
}

} // namespace cyclamenrun

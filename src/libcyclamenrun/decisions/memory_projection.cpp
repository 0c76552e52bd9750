#include "memory_projection.hpp"

#include <algorithm>
#include <cmath>

namespace cyclamenrun
{

namespace
{

// An answer is left out of the horizons that it reaches with less probability.
constexpr float negligible_probability = 0.002F;

/** P(a normal variable exceeds `limit`). */
double exceedance_probability(double mean, double variance, double limit)
{
    // A deviation of at least half a token avoids dividing by zero when all
    // lengths are known, and makes the result a plain comparison.
    const double deviation = std::sqrt(std::max(variance, 0.25));
    return 0.5 * std::erfc((limit - mean) / (deviation * std::sqrt(2.0)));
}

} // namespace

void memory_projection::add(const answer& running, const survival_curve& curve)
{
    const float survival_now = curve.survival(running.generated);
    for (std::size_t i = 0; i < horizons.size(); ++i) {
        const std::uint32_t length = running.generated + horizons[i];
        if (i > 0 && length >= running.max_output)
            return;
        const float alive = curve.survival(length) / survival_now;
        if (alive < negligible_probability)
            return;
        add_at(i, running, static_cast<double>(alive));
    }
}

void memory_projection::add_known(const answer& running, std::uint32_t length)
{
    for (std::size_t i = 0; i < horizons.size(); ++i) {
        if (i > 0 && running.generated + horizons[i] >= length)
            return;
        add_at(i, running, 1.0);
    }
}

void memory_projection::add_at(std::size_t horizon, const answer& running,
                               double alive)
{
    // Answers grow until the next horizon, and a peak in between must not be
    // missed: an answer alive at this horizon is assumed to reach the next.
    const bool is_now = horizon == 0;
    const bool is_last = horizon + 1 == horizons.size();
    const std::uint32_t ahead =
        is_now || is_last ? horizons[horizon] : horizons[horizon + 1];
    const auto tokens = static_cast<double>(running.held_tokens + ahead);
    mean_[horizon] += tokens * alive;
    variance_[horizon] += tokens * tokens * alive * (1.0 - alive);
}

double memory_projection::overflow_risk(double memory_tokens) const
{
    double highest = 0.0;
    for (std::size_t i = 0; i < horizons.size(); ++i)
        highest = std::max(highest, exceedance_probability(
                                        mean_[i], variance_[i], memory_tokens));
    return highest;
}

} // namespace cyclamenrun

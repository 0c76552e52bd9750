#include "response_time.hpp"

#include <cmath>

namespace cyclamenrun
{

namespace
{

/** Weights of a new sample and factor of the deviation, as in RFC 6298. */
constexpr double mean_weight = 1.0 / 8;
constexpr double deviation_weight = 1.0 / 4;
constexpr double deviation_factor = 4;
/** There are few routes; bounds the table if their names keep changing. */
constexpr std::size_t max_routes = 1024;

} // namespace

void response_time::add(milliseconds elapsed)
{
    const auto sample = static_cast<double>(elapsed.count());
    if (!has_samples_) {
        has_samples_ = true;
        mean_ms_ = sample;
        deviation_ms_ = sample / 2;
        return;
    }
    deviation_ms_ +=
        deviation_weight * (std::abs(sample - mean_ms_) - deviation_ms_);
    mean_ms_ += mean_weight * (sample - mean_ms_);
}

std::optional<milliseconds> response_time::usual_bound() const
{
    if (!has_samples_)
        return std::nullopt;
    return milliseconds(
        std::llround(mean_ms_ + deviation_factor * deviation_ms_));
}

void response_times::add(const std::string& route, milliseconds elapsed)
{
    if (routes_.size() >= max_routes && !routes_.contains(route))
        routes_.clear();
    routes_[route].add(elapsed);
}

std::optional<milliseconds>
response_times::usual_bound(const std::string& route) const
{
    const auto found = routes_.find(route);
    return found == routes_.end() ? std::nullopt : found->second.usual_bound();
}

} // namespace cyclamenrun

#include "log_histogram.hpp"

#include <algorithm>
#include <cmath>

namespace cyclamenrun::bench
{

namespace
{

constexpr double min_value = 0.01;
constexpr double max_value = 1e7;
const double step = std::log(1.01);

} // namespace

log_histogram::log_histogram()
    : buckets_(
          static_cast<std::size_t>(std::log(max_value / min_value) / step) + 2)
{
}

void log_histogram::add(double value)
{
    const double bounded = std::clamp(value, min_value, max_value);
    ++buckets_[static_cast<std::size_t>(std::log(bounded / min_value) / step)];
    ++count_;
}

double log_histogram::quantile(double share) const
{
    if (count_ == 0)
        return 0.0;
    const auto wanted = static_cast<std::uint64_t>(
        std::ceil(share * static_cast<double>(count_)));
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < buckets_.size(); ++i) {
        seen += buckets_[i];
        if (seen >= wanted)
            return min_value * std::exp(step * (static_cast<double>(i) + 0.5));
    }
    return max_value;
}

} // namespace cyclamenrun::bench

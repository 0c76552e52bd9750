#include "log_histogram.hpp"

#include <algorithm>
#include <cmath>

namespace cyclamenrun::bench
{

namespace
{

constexpr double least = 0.01;
constexpr double most = 1e7;
const double step = std::log(1.01);

} // namespace

log_histogram::log_histogram()
    : buckets_(static_cast<std::size_t>(std::log(most / least) / step) + 2)
{
}

void log_histogram::add(double value)
{
    const double bounded = std::clamp(value, least, most);
    ++buckets_[static_cast<std::size_t>(std::log(bounded / least) / step)];
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
            return least * std::exp(step * (static_cast<double>(i) + 0.5));
    }
    return most;
}

} // namespace cyclamenrun::bench

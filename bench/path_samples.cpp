#include "path_samples.hpp"

#include <algorithm>
#include <numeric>

namespace cyclamenrun::bench
{

namespace
{

constexpr std::size_t max_samples = 8'000'000;

} // namespace

void path_samples::add(double value)
{
    if (values_.size() < max_samples)
        values_.push_back(value);
}

double path_samples::quantile(double share) const
{
    if (values_.empty())
        return 0;
    std::vector<double> sorted = values_;
    const auto last = static_cast<double>(sorted.size() - 1);
    const auto position =
        sorted.begin() + static_cast<std::ptrdiff_t>(share * last);
    std::nth_element(sorted.begin(), position, sorted.end());
    return *position;
}

double path_samples::mean() const
{
    if (values_.empty())
        return 0;
    return std::accumulate(values_.begin(), values_.end(), 0.0) /
           static_cast<double>(values_.size());
}

} // namespace cyclamenrun::bench

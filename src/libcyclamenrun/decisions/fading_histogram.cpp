#include "fading_histogram.hpp"

#include <algorithm>
#include <cmath>

namespace cyclamenrun
{

namespace
{

/** Ratio of a bin's upper bound to its lower bound. */
constexpr double bin_ratio = 1.04;
/** Weights are scaled down at this value, so that they don't overflow. */
constexpr double max_weight = 1e9;

} // namespace

fading_histogram::fading_histogram(double least, double most, double memory)
    : least_(least), growth_(std::exp(1 / memory)),
      bins_(static_cast<std::size_t>(
                std::ceil(std::log(most / least) / std::log(bin_ratio))),
            0.0)
{
}

double fading_histogram::position_of(double value) const
{
    const double position =
        std::log(std::max(value, least_) / least_) / std::log(bin_ratio);
    return std::min(position, static_cast<double>(bins_.size()));
}

double fading_histogram::value_at(double position) const
{
    return least_ * std::pow(bin_ratio, position);
}

void fading_histogram::add(double value)
{
    const auto bin = std::min(static_cast<std::size_t>(position_of(value)),
                              bins_.size() - 1);
    bins_[bin] += next_weight_;
    total_ += next_weight_;
    if (next_weight_ * growth_ < max_weight) {
        next_weight_ *= growth_;
        return;
    }
    for (auto& each : bins_)
        each /= next_weight_;
    total_ /= next_weight_;
    next_weight_ = growth_;
}

double fading_histogram::weight() const
{
    return total_ * growth_ / next_weight_;
}

double fading_histogram::share_above(double value) const
{
    if (total_ <= 0)
        return 0;
    const double position = position_of(value);
    const auto bin = static_cast<std::size_t>(position);
    if (bin >= bins_.size())
        return 0;
    // The samples of a bin are taken as spread evenly over it.
    double above = bins_[bin] * (1 - (position - static_cast<double>(bin)));
    for (auto i = bin + 1; i < bins_.size(); ++i)
        above += bins_[i];
    return std::min(1.0, above / total_);
}

double fading_histogram::median() const
{
    if (total_ <= 0)
        return 0;
    double below = 0;
    for (std::size_t i = 0; i < bins_.size(); ++i) {
        if (bins_[i] > 0 && below + bins_[i] >= total_ / 2)
            return value_at(static_cast<double>(i) +
                            (total_ / 2 - below) / bins_[i]);
        below += bins_[i];
    }
    return value_at(static_cast<double>(bins_.size()));
}

double fading_histogram::harmonic_mean(double least, double most) const
{
    double weights = 0;
    double inverses = 0;
    for (std::size_t i = 0; i < bins_.size(); ++i) {
        const double value = value_at(static_cast<double>(i) + 0.5);
        if (bins_[i] <= 0 || value < least || value > most)
            continue;
        weights += bins_[i];
        inverses += bins_[i] / value;
    }
    return inverses > 0 ? weights / inverses : 0;
}

} // namespace cyclamenrun

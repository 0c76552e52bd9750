#include "drain_rate.hpp"

#include <algorithm>
#include <cmath>

namespace cyclamenrun
{

namespace
{

constexpr double time_constant_s = 15.0;
// Weight of the initial rate, in seconds of observation.
constexpr double initial_seconds = 2.0;
constexpr double min_rate_per_s = 1e-3;
constexpr milliseconds max_time{600'000};

} // namespace

drain_rate::drain_rate(double initial)
    : items_(initial * initial_seconds), seconds_(initial_seconds)
{
}

void drain_rate::advance(time_point now, bool waiting)
{
    const double elapsed =
        std::chrono::duration<double>(now - last_advance_).count();
    const bool has_start = last_advance_ != time_point{};
    last_advance_ = now;
    if (!has_start || !waiting || elapsed <= 0.0)
        return;
    const double decay = std::exp(-elapsed / time_constant_s);
    items_ *= decay;
    seconds_ = seconds_ * decay + elapsed;
}

milliseconds drain_rate::time_for(double items) const
{
    const double seconds = items / std::max(per_second(), min_rate_per_s);
    return std::min(max_time, milliseconds(std::llround(seconds * 1000.0)));
}

} // namespace cyclamenrun

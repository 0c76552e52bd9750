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
constexpr double least_rate = 1e-3;
constexpr milliseconds longest{600'000};

} // namespace

drain_rate::drain_rate(double initial)
    : items_(initial * initial_seconds), seconds_(initial_seconds)
{
}

void drain_rate::advance(time_point now, bool waiting)
{
    const double elapsed = std::chrono::duration<double>(now - last_).count();
    const bool known = last_ != time_point{};
    last_ = now;
    if (!known || !waiting || elapsed <= 0.0)
        return;
    const double kept = std::exp(-elapsed / time_constant_s);
    items_ *= kept;
    seconds_ = seconds_ * kept + elapsed;
}

milliseconds drain_rate::time_for(double items) const
{
    const double seconds = items / std::max(per_second(), least_rate);
    return std::min(longest, milliseconds(std::llround(seconds * 1000.0)));
}

} // namespace cyclamenrun

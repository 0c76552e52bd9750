#ifndef CYCLAMENRUN_CLOCK_HPP
#define CYCLAMENRUN_CLOCK_HPP

#include <chrono>
#include <functional>

namespace cyclamenrun
{

/**
 * Monotonic time. Code that makes decisions takes the current time as an
 * argument and stores deadlines as time points, so that a step of the wall
 * clock has no effect.
 */
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;
using milliseconds = std::chrono::milliseconds;

/** Returns the current monotonic time; tests pass a virtual clock. */
using clock_function = std::function<time_point()>;

/** Reads the monotonic clock of the host. */
inline time_point steady_now()
{
    return std::chrono::steady_clock::now();
}

/** Returns the time left until `deadline`, or zero if it has passed. */
inline milliseconds time_left(time_point deadline, time_point now)
{
    if (deadline <= now)
        return milliseconds(0);
    return std::chrono::duration_cast<milliseconds>(deadline - now);
}

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CLOCK_HPP

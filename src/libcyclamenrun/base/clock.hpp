#ifndef CYCLAMENRUN_CLOCK_HPP
#define CYCLAMENRUN_CLOCK_HPP

#include <chrono>
#include <functional>

namespace cyclamenrun
{

/**
 * Monotonic time. Decisions take it as an argument and keep deadlines, so
 * that a stepped wall clock changes nothing.
 */
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;
using milliseconds = std::chrono::milliseconds;

/** Reads monotonic time; tests put a virtual clock in its place. */
using clock_function = std::function<time_point()>;

/** The host's own monotonic clock. */
inline time_point steady_now()
{
    return std::chrono::steady_clock::now();
}

/** Time left until `deadline`, never below zero. */
inline milliseconds time_left(time_point deadline, time_point now)
{
    if (deadline <= now)
        return milliseconds(0);
    return std::chrono::duration_cast<milliseconds>(deadline - now);
}

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CLOCK_HPP

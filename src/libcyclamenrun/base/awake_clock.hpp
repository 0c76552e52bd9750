#ifndef CYCLAMENRUN_AWAKE_CLOCK_HPP
#define CYCLAMENRUN_AWAKE_CLOCK_HPP

#include "clock.hpp"

#include <functional>

namespace cyclamenrun
{

/**
 * The time for which this process has been able to react: monotonic time less
 * the time for which it was paused or got no processor.
 *
 * Timeouts on other processes are measured by this clock. A process that was
 * paused has neither read what the others sent meanwhile nor sent what they
 * would have answered, so that their silence says nothing. Promises of this
 * process itself, such as a lease or the deadline of a request, are measured by
 * the monotonic clock, which goes on for everybody.
 *
 * The owner reports its waits. A wait that ends late, or work that takes longer
 * than the tolerance, is missed time. A pause inside a planned wait cannot be
 * seen, so waits are to be short while a timeout is pending.
 */
class awake_clock
{
public:
    explicit awake_clock(time_point now) : reported_at_(now) {}

    /** Reports that the owner waits until `wake_at`, or less if woken. */
    void begin_wait(time_point now, time_point wake_at);
    void end_wait(time_point now);

    /** Awake time as of the last report, with the epoch of time_point. */
    time_point now() const { return reported_at_ - missed_; }
    /** All time for which this process could not react. */
    duration missed() const { return missed_; }

    /**
     * Longest wait while a timeout is due after `left`: a part of it, so that a
     * pause within the wait is noticed.
     */
    static duration longest_wait(duration left);

    /** Delay of a wake-up, and time for work, that count as awake. */
    static constexpr milliseconds tolerance{10};

private:
    void advance(time_point now, duration expected);

    time_point reported_at_;
    time_point wake_at_{};
    duration missed_{0};
};

/**
 * Waits for another process until the awake time `deadline`; for threads that
 * block. `wait` waits for up to the given time and returns whether the wait has
 * ended. Returns false after the deadline.
 */
bool wait_awake(awake_clock& awake, const clock_function& clock,
                time_point deadline,
                const std::function<bool(milliseconds)>& wait);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_AWAKE_CLOCK_HPP

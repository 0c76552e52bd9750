#ifndef CYCLAMENRUN_DRAIN_RATE_HPP
#define CYCLAMENRUN_DRAIN_RATE_HPP

#include "clock.hpp"

namespace cyclamenrun
{

/**
 * Measures how fast a queue drains, in items per second. Only time with
 * waiting items counts, since an idle queue does not show how fast a burst
 * would drain. Older time has less weight.
 */
class drain_rate
{
public:
    /** `initial`: items per second, assumed until there are measurements. */
    explicit drain_rate(double initial);

    /** Counts the time up to `now` if items were `waiting` during it. */
    void advance(time_point now, bool waiting);
    /** Counts items that left the queue to be served. */
    void record_departure(double items = 1.0) { items_ += items; }

    double per_second() const { return items_ / seconds_; }
    /** Expected time until `items` have left the queue. */
    milliseconds time_for(double items) const;

private:
    time_point last_advance_{};
    double items_;   ///< departures, decayed with time
    double seconds_; ///< time with waiting items, decayed likewise
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_DRAIN_RATE_HPP

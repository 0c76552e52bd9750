#ifndef CYCLAMENRUN_DRAIN_RATE_HPP
#define CYCLAMENRUN_DRAIN_RATE_HPP

#include "clock.hpp"

namespace cyclamenrun
{

/**
 * How fast a queue empties, in items a second, from the queue's own past.
 * Only time in which something waited counts: a quiet hour says nothing of
 * how fast a burst would drain. Older time weighs less.
 */
class drain_rate
{
public:
    /** `initial` items a second are assumed until time has told. */
    explicit drain_rate(double initial);

    /** Time has passed; `waiting` says whether a queue stood in it. */
    void advance(time_point now, bool waiting);
    /** An item has left the queue for service. */
    void left(double items = 1.0) { items_ += items; }

    double per_second() const { return items_ / seconds_; }
    /** How long until `items` will have left. */
    milliseconds time_for(double items) const;

private:
    time_point last_{};
    double items_;
    double seconds_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_DRAIN_RATE_HPP

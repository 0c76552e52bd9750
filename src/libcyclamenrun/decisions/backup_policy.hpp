#ifndef CYCLAMENRUN_BACKUP_POLICY_HPP
#define CYCLAMENRUN_BACKUP_POLICY_HPP

#include "clock.hpp"

#include <optional>

namespace cyclamenrun
{

/**
 * Whether generations that begin now are to be copied as they grow. A copy
 * saves a generation whose engine crashes without notice, but takes memory
 * and links from the moves that save those whose engine is reclaimed: copies
 * at all times cost 0.025 of the worth of days on which a sixth of the engines
 * is reclaimed each 3.3 s (mean of 18 days of two deployments), and gain 0.03
 * to 0.04 on days with three crashes of a sixth. Crashes come in series, so
 * copies are made for a while after one was seen.
 */
class backup_policy
{
public:
    /** An engine that was not said to leave has broken off a stream. */
    void crash_seen(time_point now) { last_crash_ = now; }

    bool wanted(time_point now) const
    {
        return last_crash_ && now < *last_crash_ + series;
    }

    /** Time from one crash in which others are likely. */
    static constexpr milliseconds series{60000};

private:
    std::optional<time_point> last_crash_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_BACKUP_POLICY_HPP

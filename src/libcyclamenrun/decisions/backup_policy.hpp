#ifndef CYCLAMENRUN_BACKUP_POLICY_HPP
#define CYCLAMENRUN_BACKUP_POLICY_HPP

#include "clock.hpp"

#include <optional>

namespace cyclamenrun
{

/**
 * Decides whether new generations get a backup copy while they grow.
 *
 * A backup saves a generation whose engine crashes without notice. Its memory
 * and bandwidth are then missing for the moves that save generations from
 * engines that are reclaimed, so permanent backups cost more than they save
 * while engines are only reclaimed. Crashes come in series, so backups are
 * made for a while after each crash.
 */
class backup_policy
{
public:
    /** A stream broke at an engine whose removal was not announced. */
    void crash_seen(time_point now) { last_crash_ = now; }

    bool should_back_up(time_point now) const
    {
        return last_crash_ && now < *last_crash_ + crash_window;
    }

    /** Time after a crash in which further crashes are likely. */
    static constexpr milliseconds crash_window{60000};

private:
    std::optional<time_point> last_crash_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_BACKUP_POLICY_HPP

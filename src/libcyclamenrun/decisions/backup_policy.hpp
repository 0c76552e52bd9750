#ifndef CYCLAMENRUN_BACKUP_POLICY_HPP
#define CYCLAMENRUN_BACKUP_POLICY_HPP

#include "clock.hpp"

#include <optional>

namespace cyclamenrun
{

/**
 * Decides whether new generations get a backup copy while they grow.
 *
 * A backup saves a generation whose engine crashes without notice, but takes
 * memory and bandwidth from the moves that save generations from reclaimed
 * engines. Permanent backups cost 0.025 of the value of a day's requests if a
 * sixth of the engines is reclaimed every 3.3 s, and gain 0.03 to 0.04 of it if
 * a sixth of the engines crashes three times in the day. Crashes come in
 * series, so backups are made for a while after each one.
 */
class backup_policy
{
public:
    /**
     * Records that a stream broke at an engine whose removal was not
     * announced.
     */
    void record_crash(time_point now) { last_crash_ = now; }

    bool should_back_up(time_point now) const
    {
        return last_crash_ && now < *last_crash_ + crash_window;
    }

    /** Time after a crash during which further crashes are likely. */
    static constexpr milliseconds crash_window{60000};

private:
    std::optional<time_point> last_crash_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_BACKUP_POLICY_HPP

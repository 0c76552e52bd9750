#ifndef CYCLAMENRUN_LOST_RUN_HPP
#define CYCLAMENRUN_LOST_RUN_HPP

#include "clock.hpp"
#include "suspected_work.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace cyclamenrun
{

/** How far a run had got when its upstream was lost. */
enum class run_stage : std::uint8_t {
    waiting,   ///< the upstream had not begun to answer
    beginning, ///< it had begun less than `settling_time` ago
    settled,   ///< it had answered for longer
};

std::string_view name_of(run_stage stage);

/**
 * Work that crashes its upstream does so when it begins to run. A run that goes
 * on for this long is less likely the cause of a crash.
 */
inline constexpr milliseconds settling_time{500};

/** A run that ended with its upstream. */
struct lost_run {
    suspected_work work;
    /** Id of the upstream's loss, the same from all who report it. */
    std::uint64_t loss = 0;
    run_stage stage = run_stage::waiting;
    time_point sent_at;
    time_point lost_at;
};

/** When the last of these was lost; time_point{}: none was. */
time_point last_loss_of(const std::vector<lost_run>& losses);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LOST_RUN_HPP

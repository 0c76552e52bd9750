#ifndef CYCLAMENRUN_TESTS_LOSS_JUDGE_HPP
#define CYCLAMENRUN_TESTS_LOSS_JUDGE_HPP

#include "clock.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace cyclamenrun::testing_support
{

/** What a test has done to one process, from its start to its end. */
struct process_life {
    milliseconds grace{0}; ///< of a stop
    std::optional<time_point> stop_sent;
    /** When the test ended it without notice. */
    std::optional<time_point> killed;
};

/** A request that ended without a whole answer, as its caller saw it. */
struct broken_request {
    time_point sent;     ///< its last byte
    time_point ended;    ///< its connection
    time_point deadline; ///< by its own time budget
    bool reached_upstream = false;
    /** The upstream broke its answer off, or still worked on it at the end. */
    bool upstream_broke_off = false;
    bool upstream_at_work = false;
};

/** Why a request may end without a whole answer. */
enum class loss_verdict : std::uint8_t {
    lost,           ///< for no reason that callers have to bear
    process_killed, ///< without notice
    crossed_close,  ///< sent when its connection was being closed
    outlasted_stop, ///< its upstream worked on it until the end of a stop
    broken_off,     ///< by its upstream
    past_deadline,
};

std::string_view name_of(loss_verdict verdict);

/** Judges a request that one process took. Pauses excuse nothing. */
loss_verdict judge_loss(const broken_request& request,
                        const process_life& life);

} // namespace cyclamenrun::testing_support

#endif // CYCLAMENRUN_TESTS_LOSS_JUDGE_HPP

#ifndef CYCLAMENRUN_COPY_TURNS_HPP
#define CYCLAMENRUN_COPY_TURNS_HPP

#include "clock.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace cyclamenrun
{

/**
 * Grants copy turns: the generations of an engine are copied from it one after
 * another, the smallest first.
 *
 * Copies that share the engine's link would each take as long as all of them,
 * also the short final copies during which callers wait; if the engine is
 * removed meanwhile, all would be lost instead of the last few. Copying the
 * smallest first saves the most streams when the notice is too short for all.
 *
 * Bounded, no I/O, not thread-safe. A waiting generation loses its place if its
 * gateway stops requesting the turn. All times are awake times of the caller,
 * see awake_clock.
 */
class copy_turns
{
public:
    struct turn {
        std::string id;           ///< of the generation
        std::string gateway;      ///< makes the copy
        std::uint64_t tokens = 0; ///< memory to copy
    };

    /**
     * Returns true if the generation has the turn. Else it waits, and the
     * request has to be repeated.
     */
    bool request_turn(const turn& requested, time_point now);
    /** Removes a request, or ends the turn if the generation has it. */
    void end(const std::string& id);
    /** The generation that has the turn; empty if none waits. */
    std::optional<turn> holder(time_point now);

private:
    struct queued_request {
        turn requested;
        time_point requested_at;
    };

    void insert(const turn& requested, time_point now);
    void drop_expired(time_point now);

    std::deque<queued_request> queue_; ///< the first has the turn
    time_point turn_ends_{}; ///< time_point::max(): the holder has ended it
};

/**
 * A copy of a large prompt takes 0.4 s between failure domains. A copy that
 * exceeds this limit is taken to be stuck, and the next copy starts while it
 * still runs.
 */
inline constexpr milliseconds copy_turn_duration_limit{900};
/** Gateways repeat a request every 50 ms; it expires after this time. */
inline constexpr milliseconds copy_turn_request_timeout{300};
inline constexpr std::size_t max_copy_turns = 256;

} // namespace cyclamenrun

#endif // CYCLAMENRUN_COPY_TURNS_HPP

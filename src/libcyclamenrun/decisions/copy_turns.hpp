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
 * Whose generation may be copied from an engine now, one after another, the
 * smallest first: when the notice is too short for all, most are saved so (51
 * streams cut in 36 days instead of 64 in the order of asking).
 * Guards against copies that share the engine's link: each would take as long
 * as all of them, also the short last ones during which callers wait, and if
 * the engine leaves meanwhile all are lost instead of the last few.
 *
 * Bounded; no I/O; one thread. Who falls silent loses its place.
 */
class copy_turns
{
public:
    struct turn {
        std::string id;           ///< of the generation
        std::string gateway;      ///< who copies it
        std::uint64_t tokens = 0; ///< of memory to copy
    };

    /** True if it has the turn; else it waits, and has to ask again. */
    bool ask(const turn& wanted, time_point now);
    void end(const std::string& id);
    /** Who has the turn now. */
    std::optional<turn> holder(time_point now);

private:
    struct place {
        turn who;
        time_point asked_at;
    };

    void insert(const turn& wanted, time_point now);
    void drop_silent(time_point now);

    std::deque<place> places_; ///< the first has the turn
    time_point turn_ends_{};
};

/** A copy of a large prompt takes 0.4 s between failure domains; one that
 * takes longer is stuck, and the others go on beside it. */
inline constexpr milliseconds longest_copy_turn{900};
/** Who waits asks each 50 ms; so much later it no longer wants to. */
inline constexpr milliseconds copy_turn_silence{300};
inline constexpr std::size_t most_copy_turns = 256;

} // namespace cyclamenrun

#endif // CYCLAMENRUN_COPY_TURNS_HPP

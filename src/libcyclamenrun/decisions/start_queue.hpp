#ifndef CYCLAMENRUN_START_QUEUE_HPP
#define CYCLAMENRUN_START_QUEUE_HPP

#include "clock.hpp"
#include "engine_outlook.hpp"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenrun
{

/**
 * The generations that want to start at one engine, and which of them may do
 * so now. Each waits at several engines at once and starts at the first that
 * has room, so that no queue is joined in vain.
 *
 * Guards against herds: gateways that each choose by what they heard of all
 * engines a moment ago send their requests to the same few, and an engine
 * that is new gets ten at once. Here a start counts at once, whoever asked.
 *
 * Who can still be on time goes first; of these the team that holds least of
 * the engine, so that one that floods makes the others no later; then by the
 * time left. A smaller one goes before if the next does not fit. Who is late
 * waits until nobody else does.
 *
 * Bounded; no I/O; one thread. Who falls silent loses its place.
 */
class start_queue
{
public:
    /** The engine's word. `leaving`: nothing more may start there. */
    void take_view(const engine_view& view, bool leaving, time_point now);
    /** Generations that the engine runs at once, as the directory has it. */
    void set_slots(unsigned slots) { slots_ = slots; }

    /** It wants to start; asked again and again while it waits. */
    void ask(const start_request& wanted, time_point now);
    /** It waits no more, or what it was given is not used or is over. */
    void end(const std::string& id);
    /** Those that may start now, in that order. */
    std::vector<start_request> give(time_point now);

    bool was_given(const std::string& id) const
    {
        return outlook_.was_given(id);
    }
    /**
     * It is late, and teams that hold less wait as well: whatever is on time
     * goes before it, and so do their late ones.
     */
    bool is_passed_over(const start_request& wanted, time_point now) const;
    /** A running generation of so many tokens could be copied to it. */
    bool has_room_for_copy(std::uint64_t tokens) const;
    /** The engine as it is with all that was given. */
    const engine_outlook& outlook() const { return outlook_; }
    bool leaving() const { return leaving_; }
    /** When give() is due if nothing else happens; empty: after a view. */
    std::optional<time_point> next_event(time_point now) const;
    std::size_t waiting() const { return waiting_.size(); }

private:
    struct waiting_start {
        start_request who;
        time_point asked_at;
        bool late = false;            ///< at the last sort()
        std::uint64_t team_holds = 0; ///< tokens, at the last sort()
    };

    bool may_read_more(time_point now) const;
    void sort(time_point now);
    bool is_late(const start_request& wanted, time_point now) const;

    engine_outlook outlook_;
    std::deque<waiting_start> waiting_;
    unsigned slots_ = 0;
    bool leaving_ = false;
};

/** A gateway asks again within a fifth of this; see start_search. */
inline constexpr milliseconds start_silence{700};
/** Generations that wait at one engine; more are not listened to. */
inline constexpr std::size_t most_waiting_starts = 512;

} // namespace cyclamenrun

#endif // CYCLAMENRUN_START_QUEUE_HPP

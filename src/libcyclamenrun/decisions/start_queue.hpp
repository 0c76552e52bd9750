#ifndef CYCLAMENRUN_START_QUEUE_HPP
#define CYCLAMENRUN_START_QUEUE_HPP

#include "clock.hpp"
#include "engine_load_estimate.hpp"
#include "step_times.hpp"

#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenrun
{

/**
 * Queues the start requests for one engine and grants the starts. A generation
 * waits at several engines at once and starts at the first that has room, so
 * that a long queue at one of them does not delay it.
 *
 * Guards against thundering herds: gateways that choose engines by slightly
 * old load reports send their requests to the same few engines, and a new
 * engine gets ten at the same time. Here each grant counts immediately, for
 * all gateways.
 *
 * Requests that can still meet their deadline go first. Among these the team
 * that holds the least memory of the engine goes first, so that a team that
 * floods does not delay the others; then the earliest deadline. If the next
 * request does not fit into the memory, the next one that fits goes before it.
 * Late requests wait until no others are waiting.
 *
 * While the engine is slow, a start that would make running streams late by its
 * prefill waits, the longer the more streams, and as long as its own first part
 * stays on time: another engine may take it, or the slow moment ends. See
 * docs/design/step-times.md.
 *
 * Bounded, no I/O, not thread-safe. A request that is not repeated within
 * start_request_timeout is dropped.
 */
class start_queue
{
public:
    /**
     * `awake_clock`: by which requests expire that are not repeated, see
     * awake_clock. Without it they expire by the time that is passed in.
     */
    explicit start_queue(clock_function awake_clock = {})
        : awake_clock_(std::move(awake_clock))
    {
    }

    /** Replaces the engine's status. `leaving`: no more starts are granted. */
    void update_status(const engine_status& status, bool leaving,
                       time_point now);
    /**
     * Sets how many generations the engine can run at once, as listed in the
     * directory.
     */
    void set_slots(unsigned slots) { slots_ = slots; }

    /** Adds or renews a start request; repeated while the request waits. */
    void request_start(const start_request& request, time_point now);
    /**
     * Removes a request, or its grant if the start is not used or the
     * generation has ended.
     */
    void end(const std::string& id);
    /** Grants the starts that are possible now; returns them in order. */
    std::vector<start_request> grant_starts(time_point now);

    /** Records events of streams that a gateway relayed; see step_times. */
    void record_events(std::uint64_t events, milliseconds time)
    {
        steps_.record_events(events, time);
    }
    const step_times& steps() const { return steps_; }
    /**
     * Expected number of running streams that a start would make late by its
     * prefill if it were granted now.
     */
    double streams_made_late(const start_request& start) const;
    /** Probability that the start's own stream becomes late here. */
    double stream_lateness(const start_request& start) const
    {
        return steps_.stream_lateness(start.gap_target,
                                      static_cast<double>(start.output_tokens));
    }
    /** True if a start waits only so that running streams stay on time. */
    bool is_deferring() const { return deferring_; }

    bool is_granted(const std::string& id) const
    {
        return load_estimate_.is_granted(id);
    }
    /**
     * True if the request is late and teams that hold less memory are waiting:
     * all of their requests go before it, the late ones too.
     */
    bool is_passed_over(const start_request& request, time_point now) const;
    /**
     * True if a running generation with `tokens` of memory could be copied
     * here, or if the engine's status is not known yet.
     */
    bool has_room_for_copy(std::uint64_t tokens) const;
    /** The engine's estimated load, start grants included. */
    const engine_load_estimate& load_estimate() const { return load_estimate_; }
    bool leaving() const { return leaving_; }
    /**
     * When grant_starts() is due next; empty: after the next status of the
     * engine.
     */
    std::optional<time_point> next_event(time_point now) const;
    std::size_t waiting() const { return waiting_.size(); }

private:
    struct waiting_start {
        start_request request;
        time_point requested_at;       ///< awake time
        time_point first_requested_at; ///< by the time that is passed in
        bool late = false;             ///< as of the last sort()
        std::uint64_t team_memory = 0; ///< tokens, as of the last sort()
    };

    /**
     * True if a slot is free and the engine has prefilled all earlier prompts,
     * or will have within grant_lead_time.
     */
    bool can_start_prefill(time_point now) const;
    void sort(time_point now);
    time_point awake_time(time_point now) const
    {
        return awake_clock_ ? awake_clock_() : now;
    }
    bool is_late(const start_request& request, time_point now) const;
    /** The next start to be granted now; end() if there is none. */
    std::deque<waiting_start>::iterator find_next(time_point now);
    /**
     * Whether running streams matter more than an immediate start.
     * `all_prefills`: time that the engine needs for all that wait on time.
     */
    bool is_deferred(const waiting_start& start, milliseconds all_prefills,
                     time_point now) const;
    /**
     * Time for which a request could still wait if it had been made at `at`,
     * and its first part would be on time.
     */
    milliseconds slack(const start_request& request, time_point at) const;
    /** Prefill time of all waiting starts that can be on time. */
    milliseconds waiting_prefills() const;

    clock_function awake_clock_;
    engine_load_estimate load_estimate_;
    step_times steps_;
    std::deque<waiting_start> waiting_;
    unsigned slots_ = 0;
    bool leaving_ = false;
    bool deferring_ = false;
};

/** Gateways repeat a request every 150 ms; see start_search. */
inline constexpr milliseconds start_request_timeout{700};
/** Requests that wait at one engine; further ones are ignored. */
inline constexpr std::size_t max_waiting_starts = 512;

} // namespace cyclamenrun

#endif // CYCLAMENRUN_START_QUEUE_HPP

#ifndef CYCLAMENRUN_ENGINE_LOAD_ESTIMATE_HPP
#define CYCLAMENRUN_ENGINE_LOAD_ESTIMATE_HPP

#include "clock.hpp"
#include "prefill_speed.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace cyclamenrun
{

/** A request to start a generation at an engine. */
struct start_request {
    std::string id;
    std::string gateway; ///< sends the request and receives the grant
    std::string team;    ///< empty: none
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0; ///< expected
    /** When the first part of the response is due by the objective. */
    time_point first_due{};
    /** Target for the pauses of its stream; zero: none. */
    milliseconds gap_target{0};
};

/** A stream that runs at an engine. */
struct running_stream {
    milliseconds gap_target{0};
    double tokens_left = 0; ///< expected
};

/** Slots and memory in use at an engine, start grants included. */
struct engine_occupancy {
    std::size_t slots_taken = 0;
    std::uint64_t memory_taken = 0; ///< tokens
    /** Streams that a start there is expected to make late, its own included.
     */
    double late_streams = 0;
};

/** A generation that has started and is in an engine's memory. */
struct resident_generation {
    std::string id;
    std::uint64_t memory_tokens = 0;
};

/** Status reported by an engine. */
struct engine_status {
    std::uint32_t running = 0;  ///< generations, those in prefill included
    std::uint32_t starting = 0; ///< running generations with no token yet
    std::uint32_t queued = 0;
    /** Prompt length of the first queued request. */
    std::uint32_t next_prompt_tokens = 0;
    std::uint64_t memory_used = 0;  ///< tokens that can't be evicted
    std::uint64_t memory_total = 0; ///< tokens
    std::vector<resident_generation> generations;
};

/**
 * Estimates the load of one engine from its latest status and the start grants
 * since then, which count immediately. No I/O; not thread-safe.
 */
class engine_load_estimate
{
public:
    /** Replaces the status, and drops the start grants that it includes. */
    void update_status(const engine_status& status, time_point now);

    void grant(const start_request& start, time_point now);
    bool is_granted(const std::string& id) const;
    /** Drops the start grant of a generation that ended or did not use it. */
    void drop_grant(const std::string& id);

    /** True once a status was received. */
    bool known() const { return status_.memory_total > 0; }
    std::uint64_t memory_total() const { return status_.memory_total; }
    /** Slots of the generations that run, wait or have a start grant. */
    std::size_t taken_slots() const;
    engine_occupancy occupancy() const;
    /** Time that the engine needs to prefill the prompts not yet prefilled. */
    milliseconds prefill_backlog(time_point now) const;
    double prefill_tokens_per_ms() const { return speed_.tokens_per_ms(); }
    /** Time that the engine needs to prefill `tokens` of a prompt. */
    milliseconds prefill_time(std::uint64_t tokens) const;
    /** Memory of each team in tokens, start grants included. */
    std::map<std::string, std::uint64_t> memory_by_team() const;
    /**
     * True if the prompt fits and leaves room_to_grow(). In an empty engine it
     * need only fit.
     */
    bool has_memory_for(const start_request& request) const;
    /**
     * The running streams that have a gap target. Those of unknown origin are
     * assumed to be like `request`.
     */
    std::vector<running_stream>
    running_streams(const start_request& request) const;

private:
    struct granted_start {
        start_request request;
        time_point granted_at;
        time_point prefill_since; ///< time_point{}: earlier prompts come first
    };

    /** Handles granted generations that the status lists as resident. */
    void record_started(time_point now);
    /**
     * Drops grants that are older than stale_grant_age, except as many as the
     * status has starting or queued requests.
     */
    void drop_stale_grants(time_point now);
    /** Records the engine's prefill time since the last status. */
    void record_prefill(time_point now);
    /** Memory in use and the granted prompts without memory yet, in tokens. */
    double planned_memory() const;
    /** Null if this monitor did not grant the generation's start. */
    const start_request* find_started(const std::string& id) const;
    /**
     * Returns the memory in tokens that stays free so that the running
     * generations can grow until one of them ends. If each has `m` tokens left
     * on average, the probability that together they grow by `g` tokens before
     * one ends is exp(-g / m), for any number of them. If they need more than
     * is free, the engine preempts one. Each start takes this risk once, and
     * keeping `g` free costs g / memory of all starts. The sum of both costs
     * is least at g = m ln(loss * memory / m), where `loss` is the value lost
     * by a preemption.
     */
    double room_to_grow(const start_request& request) const;
    /**
     * Tokens that the generation is expected to grow by. If its own expected
     * length is not known here, it is assumed to be that of `request`.
     */
    double expected_further_tokens(const resident_generation& resident,
                                   const start_request& request) const;

    engine_status status_;
    time_point status_at_{};
    std::deque<granted_start> granted_; ///< not started yet, in order of grants
    std::vector<start_request> started_; ///< granted and resident
    double mean_prompt_ = 0;             ///< of granted starts, in tokens
    prefill_speed speed_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ENGINE_LOAD_ESTIMATE_HPP

#ifndef CYCLAMENRUN_ADMISSION_HPP
#define CYCLAMENRUN_ADMISSION_HPP

#include "admission_settings.hpp"
#include "drain_rate.hpp"
#include "fair_share.hpp"
#include "length_predictor.hpp"
#include "prefix_cache_view.hpp"
#include "refusal.hpp"
#include "shared_prefixes.hpp"

#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cyclamenrun
{

class memory_projection;

/** A work item that waits to be started at the upstream. */
struct waiting_work {
    work_id id = 0;
    std::string team;
    std::uint32_t team_weight = 1;
    std::string service;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;
    std::vector<std::uint64_t> prefix_blocks; ///< chained hashes
    time_point deadline{};
    bool suspect = false;    ///< may only run alone
    bool uses_memory = true; ///< false: a plain call; takes a slot, no memory
};

/**
 * Load reported by the engine. It lags, so it only corrects this class's own
 * counts.
 */
struct engine_load_hint {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t memory_tokens_used = 0;
};

/**
 * Decides which waiting work item starts at one upstream, and when.
 *
 * Output lengths are unknown and the engine's memory fills during decoding.
 * A work item therefore starts only if the probability that the running
 * answers outgrow the memory, estimated from the lengths of earlier answers,
 * stays within overflow_bound. The order follows a fair share of tokens per
 * team. A work item that cannot be served in time is refused on arrival.
 *
 * One instance per agent. Not thread-safe: the agent's gate holds the lock.
 * No I/O.
 */
class admission
{
public:
    explicit admission(admission_settings settings);
    admission(const admission&) = delete;
    admission& operator=(const admission&) = delete;

    /**
     * Queues a work item, or refuses it with queue_full (retry_after comes
     * from the queue's own drain rate), deadline_passed, too_large, or
     * duplicate_request if the id is already waiting or running.
     */
    outcome<void> enqueue(waiting_work work, time_point now);

    /** Starts the work items that may run; returns them in starting order. */
    std::vector<work_id> admit(time_point now);

    void record_output_tokens(work_id id, std::uint32_t count, time_point now);
    /**
     * Removes a work item that ended. If it was running, its length updates
     * the length predictor, as a lower bound if it is not complete.
     */
    void record_end(work_id id, bool complete, time_point now);
    /** Removes a waiting or running work item; false if the id is unknown. */
    bool remove(work_id id, time_point now);
    /** Removes and returns waiting work items whose deadline has passed. */
    std::vector<work_id> expired(time_point now);

    /** Preemption priority for the engine; it keeps higher values longer. */
    int priority(work_id id) const;

    /** Switches to the default settings of another objective. */
    void apply_objective(objective goal);

    /**
     * Sets the engine memory used by work outside this process, in tokens.
     * It counts as taken.
     */
    void set_external_memory(std::uint64_t tokens);
    void update_engine_load(const engine_load_hint& hint, time_point now);

    std::uint32_t running() const { return running_; }
    std::uint32_t queued() const { return queued_; }
    std::uint64_t queued_tokens() const { return queued_prompt_tokens_; }
    std::uint64_t memory_used() const;
    std::uint64_t memory_total() const { return settings_.memory_tokens; }
    /**
     * Expected time until the next start. That is the wait of a team with no
     * work here, since fair share puts it first; the queue's length is in
     * queued().
     */
    milliseconds expected_wait(time_point now) const;
    /** When expired() is due next; time_point::max() if never. */
    time_point next_event() const;

private:
    struct team_queue {
        fair_share::account* account = nullptr; ///< open while work_items > 0
        std::uint32_t work_items = 0;           ///< waiting and running
        std::deque<work_id> waiting;
        std::uint64_t prompt_tokens = 0; ///< of waiting work items
        /// Expected output of the work item queued last.
        double last_expected_tokens = 0;
        drain_rate drain;
        /// The latest retry time that a refusal has returned to a caller.
        time_point last_retry_at{};

        explicit team_queue(double rate) : drain(rate) {}
    };
    struct record {
        waiting_work work;
        team_queue* queue = nullptr;
        time_point queued_at{};
        bool started = false;
        std::uint32_t output_tokens = 0;
        std::uint64_t prefill_tokens = 0; ///< not cached when it started
    };

    std::optional<refusal> check(const waiting_work& work, time_point now);
    std::optional<refusal> check_room(const waiting_work& work,
                                      team_queue& queue, time_point now);
    refusal refuse_full(team_queue& queue, time_point now,
                        const char* resource);
    bool exceeds_queue_share(const waiting_work& work,
                             const team_queue& queue) const;

    team_queue& queue_for(const waiting_work& work);
    double least_waiting_counter() const;
    double expected_tokens(const waiting_work& work);
    void join(team_queue& queue, work_id id);
    /** Counts the time up to `now` for the drain rate. */
    void advance(time_point now);
    void drop_idle_queues();
    double initial_rate() const;

    team_queue* next_queue();
    record* next_waiting(time_point now);
    bool may_start(const record& next, memory_projection& projection);
    bool blocked_by_suspect(const record& next) const;
    bool fits_memory(const record& next, memory_projection& projection);
    memory_projection project_memory();
    void add_to(memory_projection& projection, const record& item);
    void start(record& next, time_point now);
    void unqueue(record& item, time_point now);
    void stop(record& item);
    void drop(record& item, bool complete, time_point now);
    std::uint64_t uncached_tokens(const waiting_work& work) const;
    /** Memory of a work item without its shared prompt prefix, in tokens. */
    std::uint64_t private_tokens(const record& item) const;
    /** Engine memory in use beyond the own count, in tokens. */
    double untracked_tokens() const;

    admission_settings settings_;
    length_predictor lengths_;
    fair_share shares_;
    shared_prefixes prefixes_;
    prefix_cache_view cache_;
    drain_rate drain_;
    std::unordered_map<work_id, record> records_;
    std::unordered_map<std::string, team_queue> queues_;
    std::deque<work_id> suspects_; ///< waiting to run alone, oldest first
    std::vector<team_queue*> waiting_queues_; ///< with waiting non-suspects
    std::vector<record*> running_records_;
    std::set<std::pair<time_point, work_id>> deadlines_; ///< of waiting work
    std::uint32_t running_ = 0;
    std::uint32_t running_suspects_ = 0;
    std::uint32_t queued_ = 0;
    std::uint64_t queued_prompt_tokens_ = 0;
    std::uint64_t private_tokens_ = 0; ///< memory of running work, not shared
    std::uint64_t prefill_tokens_ = 0; ///< of running work with no token yet
    std::uint64_t external_tokens_ = 0;
    double reported_excess_ = 0.0; ///< reported tokens beyond the own count
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ADMISSION_HPP

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

/** Work that asks to run. */
struct waiting_work {
    work_id id = 0;
    std::string team;
    std::uint32_t team_weight = 1;
    std::string service;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;
    std::vector<std::uint64_t> prefix_blocks; ///< chained hashes
    time_point deadline{};
    bool suspect = false; ///< to run alone
    bool sized = true;    ///< false: a plain call, a slot and no memory
};

/** What the engine says of itself; lags, so it only corrects own counts. */
struct engine_load_hint {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t memory_tokens_used = 0;
};

/**
 * Decides which waiting work starts at one upstream, and when. Output
 * lengths are unknown and the engine's memory fills in mid decode, so work
 * starts only while the running answers, as long as answers like them have
 * turned out, would outgrow the memory with no more than a set probability.
 * Which work is next goes by fair share of tokens per team. What cannot be
 * served in time is refused at the door.
 *
 * One per agent. Not thread-safe: the agent's gate holds the lock. No I/O.
 */
class admission
{
public:
    explicit admission(admission_settings settings);
    admission(const admission&) = delete;
    admission& operator=(const admission&) = delete;

    /**
     * Queues work, or refuses it: queue_full (with a retry_after from the
     * queue's own drain rate), deadline_passed, too_large, or
     * duplicate_request for an id that is here already.
     */
    outcome<void> enqueue(waiting_work work, time_point now);

    /** Work that starts now, in order; it counts as running from here on. */
    std::vector<work_id> admit(time_point now);

    void tokens_made(work_id id, std::uint32_t count, time_point now);
    /** The work ended; a complete answer teaches its length. */
    void finished(work_id id, bool complete, time_point now);
    /** Drops work, waiting or running; false if there is none by that id. */
    bool remove(work_id id, time_point now);
    /** Waiting work of which the deadline has passed; it is removed. */
    std::vector<work_id> expired(time_point now);

    /** For the engine: which work it should rather keep; higher is kept. */
    int priority(work_id id) const;

    /** Decides by another objective from now on. */
    void pursue(objective goal);

    /** Engine memory of work that is not ours; counts as taken. */
    void foreign_memory(std::uint64_t tokens);
    void engine_load(const engine_load_hint& hint, time_point now);

    std::uint32_t running() const { return running_; }
    std::uint32_t queued() const { return queued_; }
    std::uint64_t queued_tokens() const { return queued_prompt_tokens_; }
    std::uint64_t memory_used() const;
    std::uint64_t memory_total() const { return settings_.memory_tokens; }
    /**
     * Until the next start: how long a team that has nothing here would wait,
     * whom fair share puts first. What waits shows in queued().
     */
    milliseconds expected_wait(time_point now) const;
    /** When expired() is due next; time_point::max() if never. */
    time_point next_event() const;

private:
    struct team_queue {
        fair_share::account* account = nullptr; ///< held while work is here
        std::uint32_t works = 0;                ///< waiting and running
        std::deque<work_id> waiting;
        std::uint64_t prompt_tokens = 0; ///< waiting
        double expected_tokens = 0;      ///< of an answer, as last seen
        drain_rate drain;
        /// Until when places in this queue have been promised.
        time_point promised{};

        explicit team_queue(double rate) : drain(rate) {}
    };
    struct record {
        waiting_work work;
        team_queue* queue = nullptr;
        time_point queued_at{};
        bool started = false;
        std::uint32_t made = 0;
        std::uint64_t prefill_tokens = 0; ///< to be read when it started
    };

    std::optional<refusal> check(const waiting_work& work, time_point now);
    std::optional<refusal> check_room(const waiting_work& work,
                                      team_queue& queue, time_point now);
    refusal full(team_queue& queue, time_point now, const char* which);
    bool over_share(const waiting_work& work, const team_queue& queue) const;

    team_queue& queue_of(const waiting_work& work);
    double least_waiting_counter() const;
    double expected_tokens(const waiting_work& work);
    void join(team_queue& queue, work_id id);
    void advance(time_point now);
    void drop_idle_queues();
    double initial_rate() const;

    team_queue* next_queue();
    record* next_waiting(time_point now);
    bool may_start(const record& next, memory_projection& ahead);
    bool suspect_holds(const record& next) const;
    bool fits_memory(const record& next, memory_projection& ahead);
    memory_projection project();
    void add_to(memory_projection& ahead, const record& of);
    void start(record& next, time_point now);
    void unqueue(record& of, time_point now);
    void stop(record& of);
    void drop(record& of, bool complete, time_point now);
    std::uint64_t uncached_tokens(const waiting_work& work) const;
    std::uint64_t private_tokens(const record& of) const;
    double taken_outside() const;

    admission_settings settings_;
    length_predictor lengths_;
    fair_share shares_;
    shared_prefixes prefixes_;
    prefix_cache_view cache_;
    drain_rate drain_;
    std::unordered_map<work_id, record> records_;
    std::unordered_map<std::string, team_queue> queues_;
    std::deque<work_id> suspects_; ///< waiting to run alone, oldest first
    std::vector<team_queue*> waiting_queues_; ///< with waiting work
    std::vector<record*> running_records_;
    std::set<std::pair<time_point, work_id>> deadlines_; ///< of waiting work
    std::uint32_t running_ = 0;
    std::uint32_t running_suspects_ = 0;
    std::uint32_t queued_ = 0;
    std::uint64_t queued_prompt_tokens_ = 0;
    std::uint64_t private_tokens_ = 0; ///< of running work
    std::uint64_t prefill_tokens_ = 0; ///< of running work with no token yet
    std::uint64_t foreign_tokens_ = 0;
    double reported_excess_ = 0.0; ///< of the engine's report over own count
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ADMISSION_HPP

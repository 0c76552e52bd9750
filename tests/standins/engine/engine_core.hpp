#ifndef CYCLAMENRUN_TESTS_ENGINE_CORE_HPP
#define CYCLAMENRUN_TESTS_ENGINE_CORE_HPP

#include "../history.hpp"
#include "engine_run.hpp"
#include "prefix_cache.hpp"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace cyclamenrun::stand_in
{

/** Options of the stand-in engine; see its --help. */
struct engine_options {
    double step_ms = 10;
    std::uint64_t memory_tokens = 100000;
    std::uint64_t prefill_tokens_per_step = 4096;
    std::uint64_t max_batch = 512;
    std::uint64_t median_output_tokens = 60;
    std::uint64_t seed = 1;
    std::uint64_t load_lag_ms = 500;
    std::uint64_t cache_blocks = 1000;
    std::uint64_t cache_lag_ms = 1000;
    std::uint64_t cache_gap = 7;
    bool ignore_fence = false;
};

/** The engine's load at one time. */
struct load_sample {
    std::uint64_t running = 0;
    std::uint64_t waiting = 0;
    std::uint64_t memory_tokens_used = 0;

    bool operator==(const load_sample&) const = default;
};

/**
 * An engine with continuous batching: each step generates one token for every
 * request in the batch. Requests are admitted by priority, then arrival, as
 * soon as their prompt and output so far fit in memory. When memory runs out
 * in decode, the last active request in that order is preempted; it recomputes
 * its prompt and output when it is admitted again.
 */
class engine_core
{
public:
    engine_core(engine_options options, history& events);
    ~engine_core();

    std::shared_ptr<engine_run> start(run_parameters parameters);
    /** Returns false if there is no such run. */
    bool cancel(const std::string& request_id, const std::string& cause);
    void stop();

    std::vector<std::string> run_ids() const;
    /** Returns the load as it was `load_lag_ms` ago. */
    load_sample load() const;
    const engine_options& options() const { return options_; }
    prefix_cache& cache() { return cache_; }

    /** Stops generating tokens for this time. */
    void stall(std::chrono::milliseconds span);
    /** Makes each further step take `factor` times as long. */
    void slow_down(double factor);
    /** Kills the process when any run reaches this token; 0: off. */
    void die_at_token(std::uint64_t count);

private:
    using clock = std::chrono::steady_clock;
    using run_pointer = std::shared_ptr<engine_run>;

    void loop();
    void step();
    void admit();
    void make_room();
    bool prefill(engine_run& run, std::uint64_t& budget);
    void decode(engine_run& run);
    void preempt(engine_run& run);
    void remove_finished();
    void sample_load();
    run_pointer last_active() const;
    run_pointer first_waiting() const;
    std::uint64_t memory_used() const;
    std::uint64_t draw_length(const run_parameters& parameters) const;
    void record(const char* event, const engine_run& run,
                const std::string& cause = {});

    const engine_options options_;
    history& events_;
    prefix_cache cache_;
    mutable std::mutex lock_;
    std::condition_variable changed_;
    std::vector<run_pointer> runs_; ///< by priority, then arrival
    mutable std::deque<std::pair<clock::time_point, load_sample>> samples_;
    std::uint64_t next_sequence_ = 0;
    clock::time_point stalled_until_{};
    double slow_factor_ = 1;
    std::uint64_t die_at_token_ = 0;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace cyclamenrun::stand_in

#endif // CYCLAMENRUN_TESTS_ENGINE_CORE_HPP

#ifndef CYCLAMENRUN_BENCH_FAKE_ENGINE_HPP
#define CYCLAMENRUN_BENCH_FAKE_ENGINE_HPP

#include <cstdint>
#include <deque>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace cyclamenrun::bench
{

/** Memory, limits and step times of a fake engine. */
struct engine_settings {
    std::uint64_t memory_tokens = 32'768;
    std::uint32_t block_tokens = 16;
    std::uint32_t max_batch = 96;
    /** Prefill budget of one step, shared by all sequences. */
    std::uint32_t prefill_tokens_per_step = 512;
    double step_ms = 10.0;
    double step_ms_per_sequence = 0.15;
    double step_ms_per_memory_token = 0.0002;
    double step_ms_per_prefill_token = 0.08;
};

/**
 * A model of an inference engine with continuous batching.
 *
 * A step takes longer with a larger batch and more memory in use. Free memory
 * caches prompt prefixes. When memory runs out during decoding, the engine
 * preempts the running sequence with the lowest priority (the latest of equals)
 * and recomputes its prompt and output later. A waiting sequence of higher
 * priority preempts running ones of lower priority in the same way.
 */
class fake_engine
{
public:
    using sequence_id = std::uint64_t;

    struct cache_event {
        std::uint64_t block;
        bool stored; ///< false: evicted
    };
    struct step_result {
        std::vector<sequence_id> tokens; ///< sequences that generated a token
        std::vector<sequence_id>
            finished; ///< sequences that ended with that token
        std::vector<cache_event> cache_events;
    };

    explicit fake_engine(const engine_settings& settings);

    void add(sequence_id id, std::uint32_t prompt_tokens,
             std::uint32_t output_tokens,
             std::span<const std::uint64_t> prefix_blocks, int priority);
    void cancel(sequence_id id);
    /** Clears all sequences and the cache; returns the lost sequences. */
    std::vector<sequence_id> reset();

    bool idle() const { return running_.empty() && waiting_.empty(); }
    /** Starts a step and returns its duration in milliseconds. */
    double begin_step_ms();
    const step_result& end_step();
    const step_result& last_step() const { return result_; }

    std::uint32_t running() const;
    std::uint32_t waiting() const;
    /** Tokens held by running sequences, without unused cached blocks. */
    std::uint64_t memory_used() const;
    std::uint64_t preemptions() const { return preemptions_; }
    std::uint64_t recomputed_tokens() const { return recomputed_tokens_; }

private:
    struct sequence {
        sequence_id id = 0;
        std::uint32_t prompt = 0;
        std::uint32_t output = 0;
        std::vector<std::uint64_t> prefix;
        int priority = 0;
        std::uint32_t generated = 0;
        std::uint32_t prefill_left = 0; ///< prompt tokens not computed yet
        std::uint32_t recompute = 0; ///< part of these that was computed before
        std::uint64_t blocks = 0;    ///< held, without prefix blocks
        bool decodes = false;        ///< generates a token in the current step
    };
    struct cached_block {
        std::uint32_t users = 0;
        std::list<std::uint64_t>::iterator unused_position; ///< in unused_
    };
    using sequence_iterator = std::list<sequence>::iterator;

    void schedule_decodes();
    void schedule_waiting();
    void prefill_running();
    bool allocate_blocks(sequence& seq, std::uint64_t wanted);
    /**
     * Starts a sequence, preempting those of lower priority if needed; returns
     * false if memory does not suffice.
     */
    bool start_with_preemption(sequence_iterator seq);
    /** Starts a sequence if memory suffices without preemption. */
    bool try_start(sequence& seq);
    /** Blocks for `tokens` tokens of a sequence, without its prefix. */
    std::uint64_t private_blocks(const sequence& seq,
                                 std::uint32_t tokens) const;
    void release(sequence& seq);
    void use_prefix(sequence& seq);
    std::uint64_t free_blocks() const;
    /** Evicts unused cached blocks until `wanted` blocks are free. */
    void evict(std::uint64_t wanted);
    void preempt(sequence_iterator seq);
    /** Returns the running sequence to preempt first. */
    sequence_iterator victim();
    /** Moves a sequence to waiting_ by priority, before or behind equals. */
    void enqueue(std::list<sequence>& from, sequence_iterator seq,
                 bool before_equals);

    engine_settings settings_;
    std::uint64_t total_blocks_;
    std::uint64_t blocks_per_prefix_block_; ///< engine blocks in each
    std::uint64_t private_blocks_used_ = 0;
    std::list<sequence> running_; ///< oldest first
    std::list<sequence> waiting_;
    std::unordered_map<std::uint64_t, cached_block> cache_;
    std::list<std::uint64_t> unused_; ///< cached without users, oldest first
    std::uint32_t step_prefill_tokens_ = 0; ///< prompt tokens in this step
    bool preempted_in_step_ = false;
    std::uint64_t preemptions_ = 0;
    std::uint64_t recomputed_tokens_ = 0;
    step_result result_;
};

} // namespace cyclamenrun::bench

#endif // CYCLAMENRUN_BENCH_FAKE_ENGINE_HPP

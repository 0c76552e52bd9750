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

struct engine_settings {
    std::uint64_t memory_tokens = 32'768;
    std::uint32_t block_tokens = 16;
    std::uint32_t max_batch = 96;
    /** Prompt tokens read in one step, over all sequences. */
    std::uint32_t prefill_tokens_per_step = 512;
    double step_ms = 10.0;
    double step_ms_per_sequence = 0.15;
    double step_ms_per_memory_token = 0.0002;
    double step_ms_per_prefill_token = 0.08;
};

/**
 * A model engine as far as decisions can tell: it batches continuously, a
 * step takes longer with batch and memory, prompt prefixes are cached in what
 * memory is left, and when memory runs out in mid decode the running sequence
 * of least priority (the latest among them) is preempted and computed again
 * later, prompt and output so far. One of higher priority that waits takes the
 * place of lower ones in the same way.
 */
class fake_engine
{
public:
    using sequence_id = std::uint64_t;

    struct cache_event {
        std::uint64_t block;
        bool stored; ///< else evicted
    };
    struct step_result {
        std::vector<sequence_id> tokens;   ///< each made one token
        std::vector<sequence_id> finished; ///< with that token
        std::vector<cache_event> cache_events;
    };

    explicit fake_engine(const engine_settings& settings);

    void add(sequence_id id, std::uint32_t prompt_tokens,
             std::uint32_t output_tokens,
             std::span<const std::uint64_t> prefix_blocks, int priority);
    void cancel(sequence_id id);
    /** Everything is lost: sequences, cache. */
    std::vector<sequence_id> reset();

    bool idle() const { return running_.empty() && waiting_.empty(); }
    /** Starts a step; returns how long it takes. */
    double begin_step_ms();
    const step_result& end_step();
    const step_result& last_step() const { return result_; }

    std::uint32_t running() const;
    std::uint32_t waiting() const;
    /** Held by running sequences; cached blocks nobody uses don't count. */
    std::uint64_t memory_used() const;
    std::uint64_t preemptions() const { return preemptions_; }
    std::uint64_t recomputed_tokens() const { return recomputed_; }

private:
    struct sequence {
        sequence_id id = 0;
        std::uint32_t prompt = 0;
        std::uint32_t output = 0;
        std::vector<std::uint64_t> prefix;
        int priority = 0;
        std::uint32_t made = 0;
        std::uint32_t to_read = 0;   ///< prompt tokens not computed yet
        std::uint32_t recompute = 0; ///< of these, computed before
        std::uint64_t blocks = 0;    ///< held, prefix not included
        bool decodes = false;        ///< in the step now running
    };
    struct cached_block {
        std::uint32_t users = 0;
        std::list<std::uint64_t>::iterator unused;
    };
    using sequence_ptr = std::list<sequence>::iterator;

    void schedule_decodes();
    void schedule_waiting();
    void read_prompts();
    bool take_blocks(sequence& of, std::uint64_t wanted);
    /** Starts it, if need be in place of sequences of less priority. */
    bool make_room(sequence_ptr of);
    bool start(sequence& of);
    std::uint64_t private_blocks(const sequence& of,
                                 std::uint32_t tokens) const;
    void release(sequence& of);
    void use_prefix(sequence& of);
    std::uint64_t free_blocks() const;
    void evict(std::uint64_t wanted);
    void preempt(sequence_ptr victim);
    sequence_ptr victim();
    void enqueue(std::list<sequence>& from, sequence_ptr of, bool first);

    engine_settings settings_;
    std::uint64_t total_blocks_;
    std::uint64_t prefix_unit_; ///< engine blocks for each prefix block
    std::uint64_t private_used_ = 0;
    std::list<sequence> running_; ///< oldest first
    std::list<sequence> waiting_;
    std::unordered_map<std::uint64_t, cached_block> cache_;
    std::list<std::uint64_t> unused_; ///< cached by nobody, oldest first
    std::uint32_t reading_ = 0;       ///< prompt tokens in this step
    bool preempted_now_ = false;
    std::uint64_t preemptions_ = 0;
    std::uint64_t recomputed_ = 0;
    step_result result_;
};

} // namespace cyclamenrun::bench

#endif // CYCLAMENRUN_BENCH_FAKE_ENGINE_HPP

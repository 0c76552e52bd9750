#include "fake_engine.hpp"

#include "workload.hpp"

#include <algorithm>

namespace cyclamenrun::bench
{

namespace
{

// Share of blocks left free at a start so that running sequences can grow.
constexpr double watermark = 0.01;

} // namespace

fake_engine::fake_engine(const engine_settings& settings)
    : settings_(settings),
      total_blocks_(settings.memory_tokens / settings.block_tokens),
      blocks_per_prefix_block_(prefix_block_tokens / settings.block_tokens)
{
}

void fake_engine::add(sequence_id id, std::uint32_t prompt_tokens,
                      std::uint32_t output_tokens,
                      std::span<const std::uint64_t> prefix_blocks,
                      int priority)
{
    std::list<sequence> one(1);
    sequence& seq = one.front();
    seq.id = id;
    seq.prompt = prompt_tokens;
    seq.output = output_tokens;
    seq.prefix.assign(prefix_blocks.begin(), prefix_blocks.end());
    seq.priority = priority;
    enqueue(one, one.begin(), false);
}

void fake_engine::enqueue(std::list<sequence>& from, sequence_iterator seq,
                          bool before_equals)
{
    const auto precedes = [&](const sequence& other) {
        return seq->priority > other.priority ||
               (before_equals && seq->priority == other.priority);
    };
    auto position = waiting_.end();
    while (position != waiting_.begin() && precedes(*std::prev(position)))
        --position;
    waiting_.splice(position, from, seq);
}

void fake_engine::cancel(sequence_id id)
{
    const auto has_id = [id](const sequence& seq) { return seq.id == id; };
    const auto found = std::find_if(running_.begin(), running_.end(), has_id);
    if (found == running_.end()) {
        waiting_.remove_if(has_id);
        return;
    }
    release(*found);
    running_.erase(found);
}

std::vector<fake_engine::sequence_id> fake_engine::reset()
{
    std::vector<sequence_id> lost;
    for (const auto& seq : running_)
        lost.push_back(seq.id);
    for (const auto& seq : waiting_)
        lost.push_back(seq.id);
    running_.clear();
    waiting_.clear();
    cache_.clear();
    unused_.clear();
    private_blocks_used_ = 0;
    result_ = {};
    return lost;
}

double fake_engine::begin_step_ms()
{
    result_.tokens.clear();
    result_.finished.clear();
    result_.cache_events.clear();
    step_prefill_tokens_ = 0;
    preempted_in_step_ = false;
    schedule_decodes();
    prefill_running();
    schedule_waiting();
    const auto batch = static_cast<double>(running_.size());
    return settings_.step_ms + batch * settings_.step_ms_per_sequence +
           static_cast<double>(memory_used()) *
               settings_.step_ms_per_memory_token +
           step_prefill_tokens_ * settings_.step_ms_per_prefill_token;
}

void fake_engine::schedule_decodes()
{
    for (auto seq = running_.begin(); seq != running_.end();) {
        seq->decodes = seq->prefill_left == 0;
        const auto next = std::next(seq);
        if (!seq->decodes) {
            seq = next;
            continue;
        }
        const std::uint64_t wanted =
            private_blocks(*seq, seq->prompt + seq->generated + 1);
        bool preempted_itself = false;
        while (!preempted_itself && !allocate_blocks(*seq, wanted)) {
            const sequence_iterator last = victim();
            preempted_itself = last == seq;
            // The list is ordered by age: a later victim has not been
            // scheduled yet, and an earlier one leaves the batch and does not
            // decode in this step.
            preempt(last);
        }
        seq = preempted_itself ? running_.begin() : std::next(seq);
        if (preempted_itself)
            // Starts again with the first sequence. This is rare and cheap,
            // and allocating the same blocks again has no effect.
            continue;
    }
}

fake_engine::sequence_iterator fake_engine::victim()
{
    auto least = std::prev(running_.end());
    for (auto seq = least;; --seq) {
        if (seq->priority < least->priority)
            least = seq;
        if (seq == running_.begin())
            return least;
    }
}

void fake_engine::preempt(sequence_iterator seq)
{
    ++preemptions_;
    preempted_in_step_ = true;
    seq->recompute = seq->prompt + seq->generated - seq->prefill_left;
    release(*seq);
    enqueue(running_, seq, true);
}

void fake_engine::prefill_running()
{
    for (sequence& seq : running_) {
        const std::uint32_t budget =
            settings_.prefill_tokens_per_step - step_prefill_tokens_;
        const std::uint32_t tokens = std::min(budget, seq.prefill_left);
        seq.prefill_left -= tokens;
        step_prefill_tokens_ += tokens;
        const std::uint32_t recomputed = std::min(tokens, seq.recompute);
        seq.recompute -= recomputed;
        recomputed_tokens_ += recomputed;
        // The step that completes the prompt also makes a token.
        if (tokens > 0 && seq.prefill_left == 0)
            seq.decodes = true;
    }
}

void fake_engine::schedule_waiting()
{
    while (!preempted_in_step_ && !waiting_.empty() &&
           running_.size() < settings_.max_batch &&
           step_prefill_tokens_ < settings_.prefill_tokens_per_step) {
        if (!start_with_preemption(waiting_.begin()))
            return;
        running_.splice(running_.end(), waiting_, waiting_.begin());
        sequence& seq = running_.back();
        const std::uint32_t tokens =
            std::min(settings_.prefill_tokens_per_step - step_prefill_tokens_,
                     seq.prefill_left);
        seq.prefill_left -= tokens;
        step_prefill_tokens_ += tokens;
        const std::uint32_t recomputed = std::min(tokens, seq.recompute);
        seq.recompute -= recomputed;
        recomputed_tokens_ += recomputed;
        seq.decodes = seq.prefill_left == 0;
    }
}

bool fake_engine::start_with_preemption(sequence_iterator seq)
{
    while (!try_start(*seq)) {
        if (running_.empty())
            return false;
        const sequence_iterator least = victim();
        if (least->priority >= seq->priority)
            return false;
        preempt(least);
        // Only a preemption for a decode ends the starts of a step.
        preempted_in_step_ = false;
    }
    return true;
}

bool fake_engine::try_start(sequence& seq)
{
    const std::uint64_t wanted =
        private_blocks(seq, seq.prompt + seq.generated + 1);
    std::uint64_t missing = 0;
    std::uint64_t unused_wanted = 0;
    for (const std::uint64_t block : seq.prefix) {
        const auto found = cache_.find(block);
        if (found == cache_.end())
            ++missing;
        else if (found->second.users == 0)
            ++unused_wanted;
    }
    const auto reserved = static_cast<std::uint64_t>(
        watermark * static_cast<double>(total_blocks_));
    const std::uint64_t evictable = unused_.size() - unused_wanted;
    const std::uint64_t needed = wanted + missing * blocks_per_prefix_block_ +
                                 (running_.empty() ? 0 : reserved);
    if (needed > free_blocks() + evictable * blocks_per_prefix_block_)
        return false;
    std::uint32_t cached = 0;
    for (const std::uint64_t block : seq.prefix) {
        if (!cache_.contains(block))
            break;
        ++cached;
    }
    use_prefix(seq);
    allocate_blocks(seq, wanted);
    const std::uint32_t tokens = seq.prompt + seq.generated;
    seq.prefill_left = std::max(tokens - cached * prefix_block_tokens, 1U);
    seq.recompute = std::min(seq.recompute, seq.prefill_left);
    return true;
}

void fake_engine::use_prefix(sequence& seq)
{
    // Pins blocks already cached so that the eviction below keeps them.
    for (const std::uint64_t block : seq.prefix) {
        const auto found = cache_.find(block);
        if (found != cache_.end() && found->second.users++ == 0)
            unused_.erase(found->second.unused_position);
    }
    for (const std::uint64_t block : seq.prefix) {
        if (cache_.contains(block))
            continue;
        evict(blocks_per_prefix_block_);
        cache_[block].users = 1;
        result_.cache_events.push_back({block, true});
    }
}

std::uint64_t fake_engine::private_blocks(const sequence& seq,
                                          std::uint32_t tokens) const
{
    const std::uint64_t own = tokens - seq.prefix.size() * prefix_block_tokens;
    return (own + settings_.block_tokens - 1) / settings_.block_tokens;
}

bool fake_engine::allocate_blocks(sequence& seq, std::uint64_t wanted)
{
    if (wanted <= seq.blocks)
        return true;
    const std::uint64_t more = wanted - seq.blocks;
    evict(more);
    if (free_blocks() < more)
        return false;
    seq.blocks = wanted;
    private_blocks_used_ += more;
    return true;
}

std::uint64_t fake_engine::free_blocks() const
{
    return total_blocks_ - private_blocks_used_ -
           cache_.size() * blocks_per_prefix_block_;
}

void fake_engine::evict(std::uint64_t wanted)
{
    while (free_blocks() < wanted && !unused_.empty()) {
        result_.cache_events.push_back({unused_.front(), false});
        cache_.erase(unused_.front());
        unused_.pop_front();
    }
}

void fake_engine::release(sequence& seq)
{
    private_blocks_used_ -= seq.blocks;
    seq.blocks = 0;
    for (auto block = seq.prefix.rbegin(); block != seq.prefix.rend();
         ++block) {
        cached_block& cached = cache_.at(*block);
        if (--cached.users > 0)
            continue;
        unused_.push_back(*block);
        cached.unused_position = std::prev(unused_.end());
    }
}

const fake_engine::step_result& fake_engine::end_step()
{
    for (auto seq = running_.begin(); seq != running_.end();) {
        if (!seq->decodes) {
            ++seq;
            continue;
        }
        seq->decodes = false;
        result_.tokens.push_back(seq->id);
        if (++seq->generated < seq->output) {
            ++seq;
            continue;
        }
        result_.finished.push_back(seq->id);
        release(*seq);
        seq = running_.erase(seq);
    }
    return result_;
}

std::uint32_t fake_engine::running() const
{
    return static_cast<std::uint32_t>(running_.size());
}

std::uint32_t fake_engine::waiting() const
{
    return static_cast<std::uint32_t>(waiting_.size());
}

std::uint64_t fake_engine::memory_used() const
{
    return (private_blocks_used_ +
            (cache_.size() - unused_.size()) * blocks_per_prefix_block_) *
           settings_.block_tokens;
}

} // namespace cyclamenrun::bench

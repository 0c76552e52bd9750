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
      prefix_unit_(prefix_block_tokens / settings.block_tokens)
{
}

void fake_engine::add(sequence_id id, std::uint32_t prompt_tokens,
                      std::uint32_t output_tokens,
                      std::span<const std::uint64_t> prefix_blocks,
                      int priority)
{
    std::list<sequence> one(1);
    sequence& of = one.front();
    of.id = id;
    of.prompt = prompt_tokens;
    of.output = output_tokens;
    of.prefix.assign(prefix_blocks.begin(), prefix_blocks.end());
    of.priority = priority;
    enqueue(one, one.begin(), false);
}

void fake_engine::enqueue(std::list<sequence>& from, sequence_ptr of,
                          bool first)
{
    const auto goes_before = [&](const sequence& other) {
        return of->priority > other.priority ||
               (first && of->priority == other.priority);
    };
    auto place = waiting_.end();
    while (place != waiting_.begin() && goes_before(*std::prev(place)))
        --place;
    waiting_.splice(place, from, of);
}

void fake_engine::cancel(sequence_id id)
{
    const auto is_it = [id](const sequence& of) { return of.id == id; };
    const auto found = std::find_if(running_.begin(), running_.end(), is_it);
    if (found == running_.end()) {
        waiting_.remove_if(is_it);
        return;
    }
    release(*found);
    running_.erase(found);
}

std::vector<fake_engine::sequence_id> fake_engine::reset()
{
    std::vector<sequence_id> lost;
    for (const auto& of : running_)
        lost.push_back(of.id);
    for (const auto& of : waiting_)
        lost.push_back(of.id);
    running_.clear();
    waiting_.clear();
    cache_.clear();
    unused_.clear();
    private_used_ = 0;
    result_ = {};
    return lost;
}

double fake_engine::begin_step_ms()
{
    result_.tokens.clear();
    result_.finished.clear();
    result_.cache_events.clear();
    reading_ = 0;
    preempted_now_ = false;
    schedule_decodes();
    read_prompts();
    schedule_waiting();
    const auto batch = static_cast<double>(running_.size());
    return settings_.step_ms + batch * settings_.step_ms_per_sequence +
           static_cast<double>(memory_used()) *
               settings_.step_ms_per_memory_token +
           reading_ * settings_.step_ms_per_prefill_token;
}

void fake_engine::schedule_decodes()
{
    for (auto of = running_.begin(); of != running_.end();) {
        of->decodes = of->to_read == 0;
        const auto next = std::next(of);
        if (!of->decodes) {
            of = next;
            continue;
        }
        const std::uint64_t wanted =
            private_blocks(*of, of->prompt + of->made + 1);
        bool gone = false;
        while (!gone && !take_blocks(*of, wanted)) {
            const sequence_ptr last = victim();
            gone = last == of;
            // The list is ordered by age: a later victim has not been
            // scheduled yet, an earlier one must not decode.
            preempt(last);
        }
        of = gone ? running_.begin() : std::next(of);
        if (gone)
            // Restarts from the first sequence: rare, cheap, and repeated
            // allocations have no effect.
            continue;
    }
}

fake_engine::sequence_ptr fake_engine::victim()
{
    auto least = std::prev(running_.end());
    for (auto of = least;; --of) {
        if (of->priority < least->priority)
            least = of;
        if (of == running_.begin())
            return least;
    }
}

void fake_engine::preempt(sequence_ptr of)
{
    ++preemptions_;
    preempted_now_ = true;
    of->recompute = of->prompt + of->made - of->to_read;
    release(*of);
    enqueue(running_, of, true);
}

void fake_engine::read_prompts()
{
    for (sequence& of : running_) {
        const std::uint32_t budget =
            settings_.prefill_tokens_per_step - reading_;
        const std::uint32_t now = std::min(budget, of.to_read);
        of.to_read -= now;
        reading_ += now;
        const std::uint32_t again = std::min(now, of.recompute);
        of.recompute -= again;
        recomputed_ += again;
        // The step that completes the prompt also makes a token.
        if (now > 0 && of.to_read == 0)
            of.decodes = true;
    }
}

void fake_engine::schedule_waiting()
{
    while (!preempted_now_ && !waiting_.empty() &&
           running_.size() < settings_.max_batch &&
           reading_ < settings_.prefill_tokens_per_step) {
        if (!make_room(waiting_.begin()))
            return;
        running_.splice(running_.end(), waiting_, waiting_.begin());
        sequence& of = running_.back();
        const std::uint32_t now =
            std::min(settings_.prefill_tokens_per_step - reading_, of.to_read);
        of.to_read -= now;
        reading_ += now;
        const std::uint32_t again = std::min(now, of.recompute);
        of.recompute -= again;
        recomputed_ += again;
        of.decodes = of.to_read == 0;
    }
}

bool fake_engine::make_room(sequence_ptr of)
{
    while (!start(*of)) {
        if (running_.empty())
            return false;
        const sequence_ptr least = victim();
        if (least->priority >= of->priority)
            return false;
        preempt(least);
        preempted_now_ = false;
    }
    return true;
}

bool fake_engine::start(sequence& of)
{
    const std::uint64_t wanted = private_blocks(of, of.prompt + of.made + 1);
    std::uint64_t missing = 0;
    std::uint64_t unused_wanted = 0;
    for (const std::uint64_t block : of.prefix) {
        const auto found = cache_.find(block);
        if (found == cache_.end())
            ++missing;
        else if (found->second.users == 0)
            ++unused_wanted;
    }
    const auto kept = static_cast<std::uint64_t>(
        watermark * static_cast<double>(total_blocks_));
    const std::uint64_t evictable = unused_.size() - unused_wanted;
    const std::uint64_t needed =
        wanted + missing * prefix_unit_ + (running_.empty() ? 0 : kept);
    if (needed > free_blocks() + evictable * prefix_unit_)
        return false;
    std::uint32_t cached = 0;
    for (const std::uint64_t block : of.prefix) {
        if (!cache_.contains(block))
            break;
        ++cached;
    }
    use_prefix(of);
    take_blocks(of, wanted);
    const std::uint32_t tokens = of.prompt + of.made;
    of.to_read = std::max(tokens - cached * prefix_block_tokens, 1U);
    of.recompute = std::min(of.recompute, of.to_read);
    return true;
}

void fake_engine::use_prefix(sequence& of)
{
    // Pins blocks already cached so that the eviction below keeps them.
    for (const std::uint64_t block : of.prefix) {
        const auto found = cache_.find(block);
        if (found != cache_.end() && found->second.users++ == 0)
            unused_.erase(found->second.unused);
    }
    for (const std::uint64_t block : of.prefix) {
        if (cache_.contains(block))
            continue;
        evict(prefix_unit_);
        cache_[block].users = 1;
        result_.cache_events.push_back({block, true});
    }
}

std::uint64_t fake_engine::private_blocks(const sequence& of,
                                          std::uint32_t tokens) const
{
    const std::uint64_t own = tokens - of.prefix.size() * prefix_block_tokens;
    return (own + settings_.block_tokens - 1) / settings_.block_tokens;
}

bool fake_engine::take_blocks(sequence& of, std::uint64_t wanted)
{
    if (wanted <= of.blocks)
        return true;
    const std::uint64_t more = wanted - of.blocks;
    evict(more);
    if (free_blocks() < more)
        return false;
    of.blocks = wanted;
    private_used_ += more;
    return true;
}

std::uint64_t fake_engine::free_blocks() const
{
    return total_blocks_ - private_used_ - cache_.size() * prefix_unit_;
}

void fake_engine::evict(std::uint64_t wanted)
{
    while (free_blocks() < wanted && !unused_.empty()) {
        result_.cache_events.push_back({unused_.front(), false});
        cache_.erase(unused_.front());
        unused_.pop_front();
    }
}

void fake_engine::release(sequence& of)
{
    private_used_ -= of.blocks;
    of.blocks = 0;
    for (auto block = of.prefix.rbegin(); block != of.prefix.rend(); ++block) {
        cached_block& held = cache_.at(*block);
        if (--held.users > 0)
            continue;
        unused_.push_back(*block);
        held.unused = std::prev(unused_.end());
    }
}

const fake_engine::step_result& fake_engine::end_step()
{
    for (auto of = running_.begin(); of != running_.end();) {
        if (!of->decodes) {
            ++of;
            continue;
        }
        of->decodes = false;
        result_.tokens.push_back(of->id);
        if (++of->made < of->output) {
            ++of;
            continue;
        }
        result_.finished.push_back(of->id);
        release(*of);
        of = running_.erase(of);
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
    return (private_used_ + (cache_.size() - unused_.size()) * prefix_unit_) *
           settings_.block_tokens;
}

} // namespace cyclamenrun::bench

#include "prefix_cache.hpp"

#include "digest.hpp"

#include <string_view>

namespace cyclamenrun::stand_in
{
namespace
{

constexpr std::size_t block_bytes = 64;
constexpr std::size_t max_events = 100000;

} // namespace

prefix_cache::prefix_cache(std::uint64_t max_blocks,
                           std::chrono::milliseconds lag, std::uint64_t gap)
    : max_blocks_(max_blocks), lag_(lag), gap_(gap)
{
}

std::uint64_t prefix_cache::insert_prompt(const std::string& prompt)
{
    const std::lock_guard guard(lock_);
    const std::string_view text(prompt);
    std::uint64_t chain = 0;
    std::uint64_t cached_bytes = 0;
    bool prefix_cached = true;
    for (std::size_t at = 0; at + block_bytes <= text.size();
         at += block_bytes) {
        // A block is identified by the hash of the prompt up to its end.
        chain = hash64(text.substr(at, block_bytes), chain);
        prefix_cached = prefix_cached && cached_.contains(chain);
        if (prefix_cached)
            cached_bytes += block_bytes;
        touch(chain);
    }
    return count_tokens(std::string(cached_bytes, ' '));
}

std::vector<cache_event> prefix_cache::events(std::uint64_t from) const
{
    const std::lock_guard guard(lock_);
    const auto now = std::chrono::steady_clock::now();
    std::vector<cache_event> visible_events;
    for (const auto& event : events_) {
        if (event.offset >= from && event.time + lag_ <= now)
            visible_events.push_back(event);
    }
    return visible_events;
}

void prefix_cache::touch(std::uint64_t block)
{
    const auto found = cached_.find(block);
    if (found != cached_.end()) {
        recent_.splice(recent_.begin(), recent_, found->second);
        return;
    }
    recent_.push_front(block);
    cached_[block] = recent_.begin();
    record_event(true, block);
    if (cached_.size() <= max_blocks_)
        return;
    record_event(false, recent_.back());
    cached_.erase(recent_.back());
    recent_.pop_back();
}

void prefix_cache::record_event(bool stored, std::uint64_t block)
{
    const auto offset = next_offset_++;
    if (gap_ != 0 && offset % gap_ == gap_ - 1)
        return;
    events_.push_back(
        {offset, stored, block, std::chrono::steady_clock::now()});
    if (events_.size() > max_events)
        events_.pop_front();
}

} // namespace cyclamenrun::stand_in

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

std::uint64_t prefix_cache::take(const std::string& prompt)
{
    const std::lock_guard guard(lock_);
    const std::string_view text(prompt);
    std::uint64_t chain = 0;
    std::uint64_t held_bytes = 0;
    bool prefix_held = true;
    for (std::size_t at = 0; at + block_bytes <= text.size();
         at += block_bytes) {
        chain = hash64(text.substr(at, block_bytes), chain);
        prefix_held = prefix_held && held_.contains(chain);
        if (prefix_held)
            held_bytes += block_bytes;
        touch(chain);
    }
    return count_tokens(std::string(held_bytes, ' '));
}

std::vector<cache_event> prefix_cache::events(std::uint64_t from) const
{
    const std::lock_guard guard(lock_);
    const auto now = std::chrono::steady_clock::now();
    std::vector<cache_event> told;
    for (const auto& event : events_) {
        if (event.offset >= from && event.time + lag_ <= now)
            told.push_back(event);
    }
    return told;
}

void prefix_cache::touch(std::uint64_t block)
{
    const auto found = held_.find(block);
    if (found != held_.end()) {
        recent_.splice(recent_.begin(), recent_, found->second);
        return;
    }
    recent_.push_front(block);
    held_[block] = recent_.begin();
    tell(true, block);
    if (held_.size() <= max_blocks_)
        return;
    tell(false, recent_.back());
    held_.erase(recent_.back());
    recent_.pop_back();
}

void prefix_cache::tell(bool stored, std::uint64_t block)
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

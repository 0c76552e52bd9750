#include "prefix_cache_view.hpp"

namespace cyclamenrun
{

prefix_cache_view::prefix_cache_view(std::size_t max_blocks)
    : max_blocks_(max_blocks)
{
}

void prefix_cache_view::record_use(std::span<const std::uint64_t> blocks)
{
    // From the last block to the first: a block without its predecessors is
    // of no use, so the first block must be dropped last.
    for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
        const auto found = index_.find(*block);
        if (found != index_.end()) {
            order_.splice(order_.begin(), order_, found->second);
            continue;
        }
        order_.push_front(*block);
        index_.emplace(*block, order_.begin());
    }
    while (order_.size() > max_blocks_) {
        index_.erase(order_.back());
        order_.pop_back();
    }
}

void prefix_cache_view::record_eviction(std::uint64_t block)
{
    const auto found = index_.find(block);
    if (found == index_.end())
        return;
    order_.erase(found->second);
    index_.erase(found);
}

void prefix_cache_view::clear()
{
    order_.clear();
    index_.clear();
}

std::size_t
prefix_cache_view::count_cached(std::span<const std::uint64_t> blocks) const
{
    std::size_t count = 0;
    while (count < blocks.size() && index_.contains(blocks[count]))
        ++count;
    return count;
}

} // namespace cyclamenrun

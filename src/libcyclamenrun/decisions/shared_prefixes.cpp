#include "shared_prefixes.hpp"

#include <algorithm>

namespace cyclamenrun
{

void shared_prefixes::acquire(std::span<const std::uint64_t> blocks)
{
    for (const std::uint64_t block : blocks)
        ++holders_[block];
}

void shared_prefixes::release(std::span<const std::uint64_t> blocks)
{
    for (const std::uint64_t block : blocks) {
        const auto found = holders_.find(block);
        if (found != holders_.end() && --found->second == 0)
            holders_.erase(found);
    }
}

std::size_t
shared_prefixes::missing(std::span<const std::uint64_t> blocks) const
{
    return static_cast<std::size_t>(
        std::count_if(blocks.begin(), blocks.end(), [this](auto block) {
            return !holders_.contains(block);
        }));
}

} // namespace cyclamenrun

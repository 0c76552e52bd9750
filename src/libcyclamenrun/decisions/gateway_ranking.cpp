#include "gateway_ranking.hpp"

#include "digest.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

namespace
{

/** Combines two hashes; the finalizer of SplitMix64. */
std::uint64_t combine(std::uint64_t left, std::uint64_t right)
{
    std::uint64_t mixed = left ^ right;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    return mixed ^ (mixed >> 31U);
}

} // namespace

bool gateway_ranking::set(const std::string& own,
                          std::vector<std::string> others)
{
    std::erase(others, own);
    if (!std::is_sorted(others.begin(), others.end()))
        std::sort(others.begin(), others.end());
    if (own == own_ && others == others_)
        return false;
    own_ = own;
    others_ = std::move(others);
    own_hash_ = hash64(own_);
    other_hashes_.clear();
    for (const auto& each : others_)
        other_hashes_.push_back(hash64(each));
    return true;
}

std::size_t gateway_ranking::rank(const std::string& upstream) const
{
    const auto key = hash64(upstream);
    const auto own = combine(own_hash_, key);
    return static_cast<std::size_t>(std::count_if(
        other_hashes_.begin(), other_hashes_.end(),
        [&](std::uint64_t other) { return combine(other, key) < own; }));
}

} // namespace cyclamenrun

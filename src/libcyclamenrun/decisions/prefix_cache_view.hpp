#ifndef CYCLAMENRUN_PREFIX_CACHE_VIEW_HPP
#define CYCLAMENRUN_PREFIX_CACHE_VIEW_HPP

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace cyclamenrun
{

/**
 * Which prompt blocks an engine probably holds: those of the work it was
 * given last, corrected by the engine's cache events. Events come late and
 * with gaps, so this is a hint that may cost time when wrong and nothing
 * else. Bounded: the blocks used longest ago are forgotten first, as the
 * engine does it.
 */
class prefix_cache_view
{
public:
    explicit prefix_cache_view(std::size_t max_blocks);

    /** Work with these blocks was given to the engine. */
    void used(std::span<const std::uint64_t> blocks);
    void evicted(std::uint64_t block);
    void clear();

    /** How many of the leading blocks are held. */
    std::size_t held(std::span<const std::uint64_t> blocks) const;
    std::size_t size() const { return order_.size(); }

private:
    std::size_t max_blocks_;
    std::list<std::uint64_t> order_; ///< latest used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        index_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_PREFIX_CACHE_VIEW_HPP

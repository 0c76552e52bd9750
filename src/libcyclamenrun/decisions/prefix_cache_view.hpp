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
 * Estimates which prompt blocks an engine has cached: those of its latest work
 * items, corrected by the engine's cache events. Events arrive late and with
 * gaps, so this is only a hint; a wrong hint costs time and nothing else.
 * Bounded: the least recently used blocks are dropped first, as in the engine.
 */
class prefix_cache_view
{
public:
    explicit prefix_cache_view(std::size_t max_blocks);

    /** Records that the engine runs a work item with these blocks. */
    void record_use(std::span<const std::uint64_t> blocks);
    void record_eviction(std::uint64_t block);
    void clear();

    /** Number of leading blocks that are cached. */
    std::size_t count_cached(std::span<const std::uint64_t> blocks) const;
    std::size_t size() const { return order_.size(); }

private:
    std::size_t max_blocks_;
    std::list<std::uint64_t> order_; ///< most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        index_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_PREFIX_CACHE_VIEW_HPP

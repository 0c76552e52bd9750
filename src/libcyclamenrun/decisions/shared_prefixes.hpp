#ifndef CYCLAMENRUN_SHARED_PREFIXES_HPP
#define CYCLAMENRUN_SHARED_PREFIXES_HPP

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>

namespace cyclamenrun
{

/**
 * Prompt blocks that running work items hold in engine memory. A block that
 * several work items share is counted once, as in the engine.
 */
class shared_prefixes
{
public:
    void acquire(std::span<const std::uint64_t> blocks);
    void release(std::span<const std::uint64_t> blocks);

    /** Number of the blocks that no work item holds. */
    std::size_t missing(std::span<const std::uint64_t> blocks) const;
    /** Distinct blocks held. */
    std::size_t size() const { return holders_.size(); }

private:
    std::unordered_map<std::uint64_t, std::uint32_t> holders_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SHARED_PREFIXES_HPP

#ifndef CYCLAMENRUN_SHARED_PREFIXES_HPP
#define CYCLAMENRUN_SHARED_PREFIXES_HPP

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>

namespace cyclamenrun
{

/**
 * Prompt blocks that running work holds in engine memory, each counted once
 * however many works share it, as the engine does.
 */
class shared_prefixes
{
public:
    void acquire(std::span<const std::uint64_t> blocks);
    void release(std::span<const std::uint64_t> blocks);

    /** How many of the blocks nobody holds yet. */
    std::size_t missing(std::span<const std::uint64_t> blocks) const;
    /** Distinct blocks held. */
    std::size_t size() const { return holders_.size(); }

private:
    std::unordered_map<std::uint64_t, std::uint32_t> holders_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SHARED_PREFIXES_HPP

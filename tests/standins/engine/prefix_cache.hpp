#ifndef CYCLAMENRUN_TESTS_PREFIX_CACHE_HPP
#define CYCLAMENRUN_TESTS_PREFIX_CACHE_HPP

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenrun::stand_in
{

struct cache_event {
    std::uint64_t offset = 0;
    bool stored = false; ///< false: removed
    std::uint64_t block = 0;
    std::chrono::steady_clock::time_point time;
};

/**
 * The set of cached prompt blocks, with least-recently-used eviction. Its
 * events are reported after a lag, and every `gap`th one is lost.
 */
class prefix_cache
{
public:
    prefix_cache(std::uint64_t max_blocks, std::chrono::milliseconds lag,
                 std::uint64_t gap);

    /** Returns the number of cached prefix tokens; caches the full prompt. */
    std::uint64_t insert_prompt(const std::string& prompt);

    /** Returns the events from offset `from` that are older than the lag. */
    std::vector<cache_event> events(std::uint64_t from) const;

private:
    /** Caches a block or marks it as the most recently used. */
    void touch(std::uint64_t block);
    void record_event(bool stored, std::uint64_t block);

    const std::uint64_t max_blocks_;
    const std::chrono::milliseconds lag_;
    const std::uint64_t gap_;
    mutable std::mutex lock_;
    std::list<std::uint64_t> recent_; ///< most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        cached_;
    std::uint64_t next_offset_ = 0;
    std::deque<cache_event> events_;
};

/** Estimates the token count at four bytes per token. */
inline std::uint64_t count_tokens(const std::string& text)
{
    constexpr std::uint64_t token_bytes = 4;
    return (text.size() + token_bytes - 1) / token_bytes;
}

} // namespace cyclamenrun::stand_in

#endif // CYCLAMENRUN_TESTS_PREFIX_CACHE_HPP

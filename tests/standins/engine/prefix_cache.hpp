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
    bool stored = false; ///< else removed
    std::uint64_t block = 0;
    std::chrono::steady_clock::time_point time;
};

/**
 * Which blocks of prompts are held, the least recently used going first. Its
 * events are told late, and some never.
 */
class prefix_cache
{
public:
    prefix_cache(std::uint64_t max_blocks, std::chrono::milliseconds lag,
                 std::uint64_t gap);

    /** How many tokens of the prompt are held already; holds all after. */
    std::uint64_t take(const std::string& prompt);

    /** Events from `from` on that are old enough to be told. */
    std::vector<cache_event> events(std::uint64_t from) const;

private:
    void touch(std::uint64_t block);
    void tell(bool stored, std::uint64_t block);

    const std::uint64_t max_blocks_;
    const std::chrono::milliseconds lag_;
    const std::uint64_t gap_;
    mutable std::mutex lock_;
    std::list<std::uint64_t> recent_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> held_;
    std::uint64_t next_offset_ = 0;
    std::deque<cache_event> events_;
};

/** Roughly four characters make a token. */
inline std::uint64_t count_tokens(const std::string& text)
{
    constexpr std::uint64_t token_bytes = 4;
    return (text.size() + token_bytes - 1) / token_bytes;
}

} // namespace cyclamenrun::stand_in

#endif // CYCLAMENRUN_TESTS_PREFIX_CACHE_HPP

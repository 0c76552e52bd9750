#ifndef CYCLAMENRUN_GATEWAY_COUNT_HISTORY_HPP
#define CYCLAMENRUN_GATEWAY_COUNT_HISTORY_HPP

#include "boot_clock.hpp"
#include "clock.hpp"

#include <array>
#include <cstdint>
#include <vector>

namespace cyclamenrun
{

/** A number of gateways, as counted some time ago. */
struct past_gateway_count {
    unsigned count = 0;
    milliseconds age{0};
};

/**
 * How many gateways were counted in this minute and the nine before. Gateways
 * that are cut off from others forget them, but the others go on. What one
 * process remembers is told to others, since one that restarts knows only those
 * that it finds.
 *
 * Keeps the largest number of each minute. Not thread-safe, no I/O.
 */
class gateway_count_history
{
public:
    /** Records what was counted at that time. */
    void record(unsigned count, boot_time counted_at);
    /**
     * Records what another process remembers; false if that is no news. Its age
     * goes on, so that processes do not remind each other for ever.
     */
    bool learn(const past_gateway_count& told, boot_time now);
    /** Largest number that is remembered; 0: none. */
    unsigned largest(boot_time now) const;
    /**
     * What others are to be told, the largest number first. Each age has some
     * time added for the way, so that a number does not get younger on it.
     */
    std::vector<past_gateway_count> counts(boot_time now) const;

private:
    struct minute {
        std::int64_t number = 0; ///< of the clock; negative: before the boot
        unsigned count = 0;      ///< 0: none
        boot_time counted_at;
    };

    /** Largest number counted in that minute or later. */
    unsigned largest_since(std::int64_t number) const;

    static constexpr std::int64_t size = 10;
    std::array<minute, size> minutes_; ///< by number, modulo
};

/** A larger number from another process is not believed. */
inline constexpr unsigned max_gateway_count = 4096;

} // namespace cyclamenrun

#endif // CYCLAMENRUN_GATEWAY_COUNT_HISTORY_HPP

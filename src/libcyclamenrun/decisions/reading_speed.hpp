#ifndef CYCLAMENRUN_READING_SPEED_HPP
#define CYCLAMENRUN_READING_SPEED_HPP

#include "clock.hpp"

#include <cstdint>

namespace cyclamenrun
{

/**
 * How many prompt tokens an engine reads in a millisecond beside what it
 * runs, from what it has read in the time in which it was reading. Older time
 * weighs less. It begins with a prior, and no sample takes it further from
 * that than an engine can be.
 */
class reading_speed
{
public:
    /**
     * Prior: an engine of some ten billion parameters reads a chunk of a
     * hundred tokens in a step of 15 ms.
     */
    static constexpr double prior_tokens_per_ms = 7;

    /** A prompt of so many tokens was read. */
    void read(std::uint64_t tokens) { tokens_ += static_cast<double>(tokens); }
    /** It was reading all the while. */
    void was_busy(duration time);

    double tokens_per_ms() const;

private:
    /** The prior weighs as a second of reading. */
    static constexpr double prior_ms = 1000;

    double tokens_ = prior_tokens_per_ms * prior_ms;
    double busy_ms_ = prior_ms;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_READING_SPEED_HPP

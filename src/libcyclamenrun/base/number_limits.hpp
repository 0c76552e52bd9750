#ifndef CYCLAMENRUN_NUMBER_LIMITS_HPP
#define CYCLAMENRUN_NUMBER_LIMITS_HPP

#include <cmath>
#include <cstdint>

namespace cyclamenrun
{

/**
 * Limits of numbers that come from another process. Sums and products of a few
 * numbers within their limits fit into the types that hold them: times in
 * nanoseconds fit into 64 bits.
 */
namespace number_limits
{

inline constexpr std::uint64_t tokens = 100'000'000;
inline constexpr std::uint64_t memory_tokens = 1'000'000'000'000;
inline constexpr std::uint64_t count = 1'000'000;
/** Offsets, revisions, versions and indexes. */
inline constexpr std::uint64_t position = std::uint64_t(1) << 62;
/** Ten years, in milliseconds. */
inline constexpr std::int64_t duration_ms = 315'360'000'000;
/** Milliseconds of Unix time; ten thousand years. */
inline constexpr std::int64_t unix_time_ms = 315'360'000'000'000;
/** Requests a second. */
inline constexpr double rate = 1e9;
/** Tokens per millisecond. */
inline constexpr double min_speed = 1e-3;
inline constexpr double max_speed = 1e6;

} // namespace number_limits

/** True for a finite number from `least` to `most`. */
inline bool is_within(double value, double least, double most)
{
    return std::isfinite(value) && value >= least && value <= most;
}

} // namespace cyclamenrun

#endif // CYCLAMENRUN_NUMBER_LIMITS_HPP

#ifndef CYCLAMENRUN_MEMORY_PROJECTION_HPP
#define CYCLAMENRUN_MEMORY_PROJECTION_HPP

#include "survival_curve.hpp"

#include <array>
#include <cstdint>

namespace cyclamenrun
{

/**
 * How much engine memory the running work will need at some steps ahead, as
 * mean and variance, each running answer gaining a token a step while it
 * lasts. Lengths are taken as independent, so that the sum over the tens of
 * answers in a batch is close to normal.
 */
class memory_projection
{
public:
    /** One running answer. */
    struct answer {
        std::uint64_t held_tokens = 0; ///< in memory now, not shared
        std::uint32_t made = 0;        ///< tokens of output so far
        std::uint32_t max_output = 0;
    };

    void add(const answer& of, const survival_curve& curve);
    /** For an answer of which the final length is known. */
    void add_known(const answer& of, std::uint32_t length);

    /** Highest probability at any step ahead that memory is too small. */
    double overflow_risk(double memory_tokens) const;

private:
    /// Steps ahead, each standing for the time until the next.
    static constexpr std::array<std::uint32_t, 18> horizons = {
        0,   16,  32,   64,   96,   128,  192,  256,  384,
        512, 768, 1024, 1536, 2048, 3072, 4096, 6144, 8192};

    void add_at(std::size_t horizon, const answer& of, double alive);

    std::array<double, horizons.size()> mean_{};
    std::array<double, horizons.size()> variance_{};
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_MEMORY_PROJECTION_HPP

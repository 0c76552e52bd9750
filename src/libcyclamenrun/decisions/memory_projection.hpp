#ifndef CYCLAMENRUN_MEMORY_PROJECTION_HPP
#define CYCLAMENRUN_MEMORY_PROJECTION_HPP

#include "survival_curve.hpp"

#include <array>
#include <cstdint>

namespace cyclamenrun
{

/**
 * Projects the engine memory that the running work will need, as mean and
 * variance at several numbers of decoding steps ahead. Each running answer
 * grows by a token per step until it ends. Lengths are assumed to be
 * independent, so the sum over the tens of answers in a batch is close to a
 * normal distribution.
 */
class memory_projection
{
public:
    /** One running answer. */
    struct answer {
        std::uint64_t held_tokens = 0; ///< memory in use, not shared
        std::uint32_t generated = 0;   ///< output tokens so far
        std::uint32_t max_output = 0;  ///< tokens
    };

    void add(const answer& running, const survival_curve& curve);
    /** Adds an answer whose final length is known. */
    void add_known(const answer& running, std::uint32_t length);

    /** Highest probability at any horizon that memory is too small. */
    double overflow_risk(double memory_tokens) const;

private:
    /**
     * Decoding steps ahead. The first is now; each later one covers the steps
     * until the next.
     */
    static constexpr std::array<std::uint32_t, 18> horizons = {
        0,   16,  32,   64,   96,   128,  192,  256,  384,
        512, 768, 1024, 1536, 2048, 3072, 4096, 6144, 8192};

    void add_at(std::size_t horizon, const answer& running, double alive);

    std::array<double, horizons.size()> mean_{};
    std::array<double, horizons.size()> variance_{};
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_MEMORY_PROJECTION_HPP

#ifndef CYCLAMENRUN_SURVIVAL_CURVE_HPP
#define CYCLAMENRUN_SURVIVAL_CURVE_HPP

#include <array>
#include <cstddef>
#include <cstdint>

namespace cyclamenrun
{

/**
 * Estimates the probability that an answer is longer than a number of tokens
 * from the answers that have ended.
 *
 * Lengths fall into buckets, four per doubling, so that fixed memory resolves
 * a few tokens as well as tens of thousands. Each bucket counts the answers
 * that ended in it and those that were cut off in it (cancelled, expired).
 * The latter are censored observations: the answer was at least that long.
 * The curve is the actuarial (life table) estimate. Counts decay with each
 * answer, so that the curve follows a shift of lengths. A bucket with few
 * answers takes its hazard mostly from a prior curve.
 */
class survival_curve
{
public:
    static constexpr std::size_t bucket_count = 64;

    /** `memory`: approximate number of recent answers that have weight. */
    explicit survival_curve(float memory);

    /** Least length in a bucket, in tokens. */
    static std::uint32_t edge(std::size_t bucket);
    static std::size_t bucket_of(std::uint32_t tokens);

    /** Adds an answer that ended, or was cut off, after `tokens`. */
    void learn(std::uint32_t tokens, bool complete);

    /** Recomputes the curve; `prior_weight` is in answers. */
    void refresh(const survival_curve& prior, float prior_weight);
    /** Recomputes the curve with a constant hazard as the prior. */
    void refresh_with_constant_prior(float prior_weight);

    /** P(length > tokens). */
    float survival(std::uint32_t tokens) const;
    /** P(length > generated + ahead | length > generated). */
    float conditional_survival(std::uint32_t generated,
                               std::uint32_t ahead) const;
    /** Expected further tokens after `generated` if the length is capped. */
    float expected_remaining(std::uint32_t generated, std::uint32_t cap) const;

    /** Changes with each learn(). */
    std::uint64_t version() const { return version_; }

private:
    using buckets = std::array<float, bucket_count>;

    void compute(const buckets& prior_hazard, float prior_weight);
    float integral(std::uint32_t tokens) const;

    float decay_;
    std::uint64_t version_ = 0;
    buckets ended_{};   ///< answers that ended, decayed
    buckets cut_off_{}; ///< answers that were cut off, decayed
    buckets hazard_{};  ///< probability to end in a bucket once reached
    /** At each edge: the survival, and its integral over shorter lengths. */
    std::array<float, bucket_count + 1> survival_{};
    std::array<float, bucket_count + 1> integral_{};
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SURVIVAL_CURVE_HPP

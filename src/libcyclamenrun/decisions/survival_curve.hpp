#ifndef CYCLAMENRUN_SURVIVAL_CURVE_HPP
#define CYCLAMENRUN_SURVIVAL_CURVE_HPP

#include <array>
#include <cstddef>
#include <cstdint>

namespace cyclamenrun
{

/**
 * The probability that an answer is longer than a number of tokens, learnt
 * from answers as they end.
 *
 * Lengths fall into buckets, four to each doubling, so that a few tokens and
 * tens of thousands are told apart in fixed memory. Per bucket it keeps how
 * many answers ended there and how many were cut off (cancelled, expired),
 * which still tell that the answer was at least that long: the estimate is
 * the actuarial one. Counts decay with each answer, so that a shift of
 * lengths is followed. Where a bucket has few answers, the hazard leans on a
 * prior curve.
 */
class survival_curve
{
public:
    static constexpr std::size_t bucket_count = 64;

    /** `memory` is how many of the latest answers weigh in, roughly. */
    explicit survival_curve(float memory);

    /** First length of a bucket, in tokens. */
    static std::uint32_t edge(std::size_t bucket);
    static std::size_t bucket_of(std::uint32_t tokens);

    /** An answer ended, or was cut off, after `tokens`. */
    void learn(std::uint32_t tokens, bool complete);

    /** Works the curve out again, leaning on `prior`. */
    void refresh(const survival_curve& prior, float prior_weight);
    /** Works the curve out leaning on the stated prior, see the source. */
    void refresh_with_stated_prior(float prior_weight);

    /** P(length > tokens). */
    float survival(std::uint32_t tokens) const;
    /** P(length > made + ahead), given that it is longer than `made`. */
    float conditional(std::uint32_t made, std::uint32_t ahead) const;
    /** Expected tokens still to come after `made`, at most up to `cap`. */
    float expected_remaining(std::uint32_t made, std::uint32_t cap) const;

    /** Changes with each learn(). */
    std::uint64_t version() const { return version_; }

private:
    using buckets = std::array<float, bucket_count>;

    void compute(const buckets& prior_hazard, float prior_weight);
    float integral(std::uint32_t tokens) const;

    float decay_;
    std::uint64_t version_ = 0;
    buckets ended_{};
    buckets cut_off_{};
    buckets hazard_{};
    /// At each edge: survival, and its sum over all shorter lengths.
    std::array<float, bucket_count + 1> survival_{};
    std::array<float, bucket_count + 1> integral_{};
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SURVIVAL_CURVE_HPP

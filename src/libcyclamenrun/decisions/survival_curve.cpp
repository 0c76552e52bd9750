#include "survival_curve.hpp"

#include <algorithm>
#include <bit>

namespace cyclamenrun
{

namespace
{

// Added to lengths: with four buckets per doubling counted from 4, the lengths
// 0 to 3 have a bucket each.
constexpr std::uint32_t length_offset = 4;

// Prior probability that an answer that reaches a bucket ends within it. About
// two in five answers then reach twice their length.
constexpr float constant_hazard = 0.2F;

// Lower bound of the survival, so that no length is impossible.
constexpr float min_survival = 1e-6F;

} // namespace

survival_curve::survival_curve(float memory) : decay_(1.0F - 1.0F / memory)
{
    refresh_with_constant_prior(1.0F);
}

std::uint32_t survival_curve::edge(std::size_t bucket)
{
    return ((length_offset + static_cast<std::uint32_t>(bucket % 4))
            << (bucket / 4)) -
           length_offset;
}

std::size_t survival_curve::bucket_of(std::uint32_t tokens)
{
    const std::uint32_t shifted =
        std::min(tokens, edge(bucket_count) - 1) + length_offset;
    const auto octave = static_cast<std::size_t>(std::bit_width(shifted)) - 3;
    return octave * 4 + ((shifted >> octave) & 3U);
}

void survival_curve::learn(std::uint32_t tokens, bool complete)
{
    for (std::size_t i = 0; i < bucket_count; ++i) {
        ended_[i] *= decay_;
        cut_off_[i] *= decay_;
    }
    (complete ? ended_ : cut_off_)[bucket_of(tokens)] += 1.0F;
    ++version_;
}

void survival_curve::refresh(const survival_curve& prior, float prior_weight)
{
    compute(prior.hazard_, prior_weight);
}

void survival_curve::refresh_with_constant_prior(float prior_weight)
{
    buckets constant;
    constant.fill(constant_hazard);
    compute(constant, prior_weight);
}

void survival_curve::compute(const buckets& prior_hazard, float prior_weight)
{
    // Answers that were cut off in a bucket reached its middle, on average.
    float at_risk = 0.0F;
    for (std::size_t i = bucket_count; i-- > 0;) {
        at_risk += ended_[i] + 0.5F * cut_off_[i];
        hazard_[i] = (ended_[i] + prior_weight * prior_hazard[i]) /
                     (at_risk + prior_weight);
        at_risk += 0.5F * cut_off_[i];
    }
    survival_[0] = 1.0F;
    integral_[0] = 0.0F;
    for (std::size_t i = 0; i < bucket_count; ++i) {
        survival_[i + 1] =
            std::max(survival_[i] * (1.0F - hazard_[i]), min_survival);
        const auto width = static_cast<float>(edge(i + 1) - edge(i));
        integral_[i + 1] =
            integral_[i] + width * 0.5F * (survival_[i] + survival_[i + 1]);
    }
}

float survival_curve::survival(std::uint32_t tokens) const
{
    const std::size_t bucket = bucket_of(tokens);
    const std::uint32_t start = edge(bucket);
    const auto width = static_cast<float>(edge(bucket + 1) - start);
    const auto fraction =
        std::min(static_cast<float>(tokens - start) / width, 1.0F);
    return survival_[bucket] +
           fraction * (survival_[bucket + 1] - survival_[bucket]);
}

float survival_curve::conditional_survival(std::uint32_t generated,
                                           std::uint32_t ahead) const
{
    return survival(generated + ahead) / survival(generated);
}

float survival_curve::integral(std::uint32_t tokens) const
{
    const std::size_t bucket = bucket_of(tokens);
    const std::uint32_t start = std::min(edge(bucket), tokens);
    return integral_[bucket] + static_cast<float>(tokens - start) * 0.5F *
                                   (survival_[bucket] + survival(tokens));
}

float survival_curve::expected_remaining(std::uint32_t generated,
                                         std::uint32_t cap) const
{
    if (generated >= cap)
        return 0.0F;
    return (integral(cap) - integral(generated)) / survival(generated);
}

} // namespace cyclamenrun

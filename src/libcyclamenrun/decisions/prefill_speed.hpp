#ifndef CYCLAMENRUN_PREFILL_SPEED_HPP
#define CYCLAMENRUN_PREFILL_SPEED_HPP

#include "clock.hpp"

#include <cstdint>

namespace cyclamenrun
{

/**
 * Estimates an engine's prefill speed: how many prompt tokens it prefills per
 * millisecond while it decodes running generations. The estimate is the tokens
 * prefilled divided by the time spent on prefill, where older samples have less
 * weight. It starts from a prior and stays within a plausible range around it.
 */
class prefill_speed
{
public:
    /**
     * Prior: an engine of some ten billion parameters prefills a chunk of a
     * hundred tokens in a step of 15 ms.
     */
    static constexpr double prior_tokens_per_ms = 7;

    /** Records that a prompt was prefilled. */
    void record_prompt(std::uint64_t tokens)
    {
        tokens_ += static_cast<double>(tokens);
    }
    /** Records time that the engine spent on prefill. */
    void record_prefill_time(duration time);

    double tokens_per_ms() const;

private:
    /** Weight of the prior: one second of prefill. */
    static constexpr double prior_ms = 1000;

    double tokens_ = prior_tokens_per_ms * prior_ms;
    double prefill_ms_ = prior_ms;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_PREFILL_SPEED_HPP

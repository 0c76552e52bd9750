#include "attempt_policy.hpp"

#include <algorithm>
#include <cmath>

namespace cyclamenrun
{

namespace
{

/** Bounds of the response timeout, as multiples of the objective. */
constexpr double min_timeout_objectives = 0.6;
constexpr double max_timeout_objectives = 2;

constexpr double retry_delay_spread = 0.2;

milliseconds scale_randomly(milliseconds delay, double least, double most,
                            std::mt19937_64& random)
{
    std::uniform_real_distribution<double> factor(least, most);
    return milliseconds(
        std::llround(factor(random) * static_cast<double>(delay.count())));
}

/** True if a request that may have run may run once more. */
bool may_run_again(const attempt_state& state)
{
    return state.idempotent && state.runs < state.max_attempts;
}

/** Step after an attempt that has not run, although earlier ones may have. */
attempt_step step_if_not_run(attempt_step again, const attempt_state& state)
{
    const bool may_run = state.runs == 0 || may_run_again(state);
    if (may_run && state.sends < max_sends && !state.is_past_deadline)
        return again;
    return state.runs > 0 ? attempt_step::report_lost : attempt_step::refuse;
}

} // namespace

std::string_view name_of(attempt_result result)
{
    switch (result) {
    case attempt_result::not_sent:
        return "not_sent";
    case attempt_result::turned_away:
        return "turned_away";
    case attempt_result::failed:
        return "failed";
    case attempt_result::lost:
        return "lost";
    }
    return "lost";
}

std::string_view name_of(attempt_step step)
{
    switch (step) {
    case attempt_step::again:
        return "again";
    case attempt_step::again_free:
        return "again_free";
    case attempt_step::deliver:
        return "deliver";
    case attempt_step::refuse:
        return "refuse";
    case attempt_step::report_lost:
        return "report_lost";
    case attempt_step::cut:
        return "cut";
    }
    return "cut";
}

attempt_step next_step(attempt_result result, const attempt_state& state)
{
    if (state.answer_begun)
        return attempt_step::cut;
    const bool may_repeat = may_run_again(state) && !state.is_past_deadline &&
                            state.sends < max_sends;
    switch (result) {
    case attempt_result::not_sent:
        return step_if_not_run(attempt_step::again_free, state);
    case attempt_result::turned_away:
        return step_if_not_run(attempt_step::again, state);
    case attempt_result::failed:
        return may_repeat ? attempt_step::again : attempt_step::deliver;
    case attempt_result::lost:
        return may_repeat ? attempt_step::again : attempt_step::report_lost;
    }
    return attempt_step::report_lost;
}

std::optional<milliseconds>
attempt_response_timeout(const attempt_state& state,
                         milliseconds response_objective,
                         std::optional<milliseconds> usual_bound)
{
    // The current attempt counts as a run if it times out.
    const bool can_retry = state.idempotent &&
                           state.runs + 1 < state.max_attempts &&
                           state.sends < max_sends;
    if (!can_retry || response_objective <= milliseconds::zero())
        return std::nullopt;
    // An attempt that begins after the lower bound can still meet the
    // objective. One that begins after the upper bound can hardly respond
    // before the caller times out.
    const auto lowest = min_timeout_objectives * response_objective.count();
    const auto highest = max_timeout_objectives * response_objective.count();
    const auto usual =
        usual_bound ? static_cast<double>(usual_bound->count()) : highest;
    return milliseconds(std::llround(std::clamp(usual, lowest, highest)));
}

milliseconds jitter_retry_delay(milliseconds after, std::mt19937_64& random)
{
    return scale_randomly(after, 1 - retry_delay_spread, 1 + retry_delay_spread,
                          random);
}

milliseconds spread_retry_delay(milliseconds least, std::mt19937_64& random)
{
    return scale_randomly(least, 1, 1 + retry_delay_spread, random);
}

} // namespace cyclamenrun

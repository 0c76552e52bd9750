#include "attempt_policy.hpp"

namespace cyclamenrun
{

namespace
{

attempt_step when_not_run(attempt_step again, const attempt_state& state)
{
    if (state.sends < most_sends && !state.time_is_up)
        return again;
    // It ran in an earlier attempt, so "not run" would be untrue.
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
    const bool may_repeat = state.idempotent && !state.time_is_up &&
                            state.runs < state.max_attempts &&
                            state.sends < most_sends;
    switch (result) {
    case attempt_result::not_sent:
        return when_not_run(attempt_step::again_free, state);
    case attempt_result::turned_away:
        return when_not_run(attempt_step::again, state);
    case attempt_result::failed:
        return may_repeat ? attempt_step::again : attempt_step::deliver;
    case attempt_result::lost:
        return may_repeat ? attempt_step::again : attempt_step::report_lost;
    }
    return attempt_step::report_lost;
}

} // namespace cyclamenrun

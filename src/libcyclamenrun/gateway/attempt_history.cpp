#include "attempt_history.hpp"

namespace cyclamenrun
{

void attempt_history::begin_attempt()
{
    in_flight_ = true;
    ++sends_;
}

void attempt_history::end_attempt(std::optional<attempt_result> result)
{
    in_flight_ = false;
    arrived_ = arrived_ || result != attempt_result::not_sent;
    if (result != attempt_result::not_sent &&
        result != attempt_result::turned_away)
        ++runs_;
}

attempt_state attempt_history::state(const circumstances& now) const
{
    attempt_state state;
    state.idempotent = rules_.idempotent;
    state.max_attempts = rules_.max_attempts;
    state.runs = runs_;
    state.sends = sends_;
    state.is_past_deadline = now.is_past_deadline;
    state.answer_begun = now.answer_begun && !now.answer_can_resume;
    return state;
}

attempt_step attempt_history::step_after(attempt_result result,
                                         const circumstances& now) const
{
    return next_step(result, state(now));
}

gateway_refusal attempt_history::truthful(gateway_refusal wanted) const
{
    return may_have_run() && row_of(wanted).not_run
               ? gateway_refusal::upstream_lost
               : wanted;
}

attempt_step step_without_retry(attempt_result result)
{
    switch (result) {
    case attempt_result::not_sent:
    case attempt_result::turned_away:
        return attempt_step::refuse;
    case attempt_result::failed:
        return attempt_step::deliver;
    case attempt_result::lost:
        return attempt_step::report_lost;
    }
    return attempt_step::report_lost;
}

} // namespace cyclamenrun

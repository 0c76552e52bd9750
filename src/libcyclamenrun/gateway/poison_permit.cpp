#include "poison_permit.hpp"

namespace cyclamenrun
{

poison_admission poison_permit::admit()
{
    const auto now = context_.reactor->now();
    if (context_.kept_marks && !context_.kept_marks->may_send(now))
        return poison_admission::wait;
    const auto admission = context_.poison.admit(served_.work, claim_, now);
    on_trial_ = admission == poison_admission::trial;
    served_.solo = on_trial_ || admission == poison_admission::solo;
    return admission;
}

bool poison_permit::is_convicted() const
{
    return !claim_.is_trial &&
           context_.poison.is_poison(served_.work, context_.reactor->now());
}

void poison_permit::begin_run()
{
    began_at_ = context_.reactor->now();
    first_part_at_.reset();
    settled_ = false;
}

void poison_permit::record_part()
{
    const auto now = context_.reactor->now();
    if (!first_part_at_)
        first_part_at_ = now;
    if (settled_ || now - *first_part_at_ < settling_time)
        return;
    settled_ = true;
    context_.poison.record_settled(served_.work, *first_part_at_, now);
    release();
}

void poison_permit::record_success(const std::string& upstream_id)
{
    const auto now = context_.reactor->now();
    // A resumed stream that had ended before shows nothing of its prompt.
    const auto ran =
        first_part_at_ ? served_.work : suspected_work(served_.work.request);
    context_.poison.record_success(upstream_id, ran,
                                   first_part_at_.value_or(now), now);
}

lost_run poison_permit::lost_now(bool responding) const
{
    lost_run run;
    run.work = accused_work(served_.work, claim_);
    run.sent_at = began_at_;
    run.lost_at = context_.reactor->now();
    if (first_part_at_ && run.lost_at - *first_part_at_ > settling_time)
        run.stage = run_stage::settled;
    else if (responding)
        run.stage = run_stage::beginning;
    return run;
}

} // namespace cyclamenrun

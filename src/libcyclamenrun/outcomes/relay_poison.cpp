#include "relay.hpp"

#include <string>

namespace cyclamenrun
{

// What a relay knows and tells of upstreams that are lost under its request.

relay_actions relay::refuse_poison(time_point now)
{
    const auto why = hooks_.grounds(request_.work, now);
    return refuse(
        not_run(refusal_reason::poison, why ? describe(*why) : std::string()),
        now);
}

lost_run relay::lost_now(std::uint64_t loss, time_point now) const
{
    lost_run run{accused_work(request_.work, claim_), loss, run_stage::waiting,
                 sent_at_, now};
    if (first_token_at_)
        run.stage = now - *first_token_at_ > settling_time
                        ? run_stage::settled
                        : run_stage::beginning;
    return run;
}

void relay::end_solo()
{
    if (claim_.id != 0)
        hooks_.end_solo(claim_);
}

relay::~relay()
{
    end_solo();
}

} // namespace cyclamenrun

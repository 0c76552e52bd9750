#include "gate.hpp"

// The part of the gate that obeys what its upstream says of itself.

namespace cyclamenrun
{

namespace
{

refusal leaving_refusal()
{
    return not_run(refusal_reason::draining,
                   "the upstream leaves and accepts no new work",
                   milliseconds(0));
}

} // namespace

void gate::record_notice(const upstream_notice& notice, time_point now)
{
    deferred_calls deferred;
    {
        const std::scoped_lock lock(mutex_);
        const auto changed = notices_.record(settings_.upstream, notice, now);
        if (!changed.rest_extended && !changed.leaving_began)
            return;
        ++load_change_;
        deferred.state_changed = true;
        // Another agent may run it sooner.
        if (const auto checked = check_notices(now); !checked)
            refuse_all_waiting(checked.error(), now, deferred);
    }
    run(deferred);
}

outcome<void> gate::check_notices(time_point now) const
{
    if (notices_.is_leaving(settings_.upstream))
        return tl::unexpected(leaving_refusal());
    const auto rest = notices_.rest_left(settings_.upstream, now);
    if (rest > milliseconds::zero())
        return tl::unexpected(not_run(refusal_reason::upstream_resting,
                                      "the upstream has asked for rest", rest));
    return {};
}

bool gate::upstream_leaving() const
{
    const std::scoped_lock lock(mutex_);
    return notices_.is_leaving(settings_.upstream);
}

milliseconds gate::rest_left(time_point now) const
{
    const std::scoped_lock lock(mutex_);
    return notices_.rest_left(settings_.upstream, now);
}

} // namespace cyclamenrun

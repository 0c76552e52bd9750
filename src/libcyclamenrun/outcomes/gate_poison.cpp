#include "gate.hpp"

#include "digest.hpp"

// Marks against requests and parts of prompts under which the engine was lost.

namespace cyclamenrun
{

namespace
{

lost_run lost_run_of(const work_session& session, time_point now)
{
    lost_run run{suspected_work_of(session.request), session.loss,
                 run_stage::waiting, session.started_at, now};
    if (session.first_token_at)
        run.stage = now - *session.first_token_at > settling_time
                        ? run_stage::settled
                        : run_stage::beginning;
    return run;
}

} // namespace

suspected_work suspected_work_of(const link::Dispatch& dispatch)
{
    return suspected_work(
        dispatch.fingerprint(),
        {dispatch.prompt_parts().begin(), dispatch.prompt_parts().end()});
}

void gate::record_progress(work_session& session, time_point now)
{
    if (!session.first_token_at) {
        session.first_token_at = now;
        return;
    }
    if (session.settled || now - *session.first_token_at < settling_time)
        return;
    session.settled = true;
    poison_.record_run(suspected_work_of(session.request),
                       run_progress::settled, *session.first_token_at, now);
}

void gate::mark_lost(work_session& session, std::uint64_t loss, time_point now)
{
    session.loss = loss;
    poison_.record_loss(lost_run_of(session, now), now);
}

void gate::merge_marks(const std::vector<link::PoisonMark>& marks,
                       time_point now)
{
    deferred_calls deferred;
    {
        const std::scoped_lock lock(mutex_);
        const auto before = poison_.version();
        for (const auto& mark : marks)
            poison_.merge(mark, now);
        deferred.state_changed = poison_.version() != before;
        if (deferred.state_changed)
            refuse_waiting_poison(now, deferred);
    }
    run(deferred);
}

void gate::refuse_waiting_poison(time_point now, deferred_calls& deferred)
{
    for (auto& [work, session] : sessions_.all()) {
        if (session.state != work_state::waiting)
            continue;
        const auto why =
            poison_.grounds(suspected_work_of(session.request), now);
        if (!why)
            continue;
        admission_.remove(work, now);
        refuse(session, not_run(refusal_reason::poison, describe(*why)), now,
               deferred);
    }
}

std::uint64_t gate::marks_version() const
{
    const std::scoped_lock lock(mutex_);
    return poison_.version();
}

std::vector<link::PoisonMark> gate::marks_since(std::uint64_t version,
                                                time_point now) const
{
    const std::scoped_lock lock(mutex_);
    return poison_.marks_since(version, now);
}

std::uint64_t gate::next_loss_id()
{
    ++engine_losses_;
    return hash64(settings_.upstream, settings_.incarnation + engine_losses_);
}

} // namespace cyclamenrun

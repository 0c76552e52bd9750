#include "gate.hpp"

#include "digest.hpp"
#include "link_messages.hpp"

#include <algorithm>

namespace cyclamenrun
{

namespace
{

constexpr std::size_t max_request_id_bytes = 128;
constexpr milliseconds short_retry_after{1000};

milliseconds clamp_time_left(std::uint64_t time_left_ms, milliseconds longest)
{
    const auto bound = static_cast<std::uint64_t>(longest.count());
    return milliseconds(std::min(time_left_ms, bound));
}

refusal drain_refusal()
{
    return not_run(refusal_reason::draining,
                   "the agent is draining and accepts no new work",
                   milliseconds(0));
}

refusal no_upstream_refusal()
{
    return not_run(refusal_reason::no_upstream, "the upstream does not respond",
                   short_retry_after);
}

waiting_work waiting_work_of(work_id work, const work_session& session)
{
    const auto& request = session.request;
    waiting_work waiting;
    waiting.id = work;
    waiting.team = request.team();
    waiting.team_weight = std::max<std::uint32_t>(1, request.team_weight());
    waiting.service = request.service();
    waiting.prompt_tokens = request.prompt_tokens();
    waiting.max_output_tokens = request.max_output_tokens();
    waiting.prefix_blocks.assign(request.prefix_blocks().begin(),
                                 request.prefix_blocks().end());
    waiting.deadline = session.deadline;
    waiting.suspect = session.suspect;
    waiting.uses_memory = !session.is_call();
    return waiting;
}

/** `DeferredCalls` is the private type gate::deferred_calls. */
template <typename DeferredCalls>
void wake_readers(const work_session& session, DeferredCalls& deferred)
{
    deferred.wakes.insert(deferred.wakes.end(), session.readers.begin(),
                          session.readers.end());
}

session_table_limits limits_of(const gate_settings& settings)
{
    return {settings.max_sessions, settings.max_readers_per_session,
            settings.replay_window_tokens};
}

} // namespace

gate::gate(gate_settings settings, gate_hooks hooks)
    : settings_(std::move(settings)), hooks_(std::move(hooks)),
      admission_(settings_.admission),
      tombstones_(settings_.tombstone_capacity),
      tickets_(settings_.link_key, settings_.upstream, settings_.incarnation,
               settings_.started_at, settings_.ticket_capacity),
      poison_(settings_.poison_capacity, settings_.poison_mark_lifetime),
      sessions_(limits_of(settings_))
{
}

outcome<reader_id> gate::submit(const link::Dispatch& dispatch, time_point now)
{
    deferred_calls deferred;
    outcome<reader_id> reader = tl::unexpected(refusal{});
    {
        const std::scoped_lock lock(mutex_);
        reader = submit_locked(dispatch, now, deferred);
        // A second copy of a refused dispatch must be refused as well, even if
        // the reason for the refusal no longer applies.
        if (!reader && reader.error().kind == refusal_kind::not_run &&
            !add_tombstone(dispatch.request_id(), now))
            reader = tl::unexpected(
                outcome_unknown(reader.error().reason,
                                "too many refused requests are recorded"));
    }
    run(deferred);
    return reader;
}

outcome<reader_id> gate::submit_locked(const link::Dispatch& dispatch,
                                       time_point now, deferred_calls& deferred)
{
    const auto& id = dispatch.request_id();
    if (id.empty() || id.size() > max_request_id_bytes)
        return tl::unexpected(not_run(refusal_reason::bad_request,
                                      "request id is empty or too long"));
    if (tombstones_.contains(id, now))
        return tl::unexpected(
            not_run(refusal_reason::cancelled,
                    "a request with this id was refused before"));
    if (sessions_.find_request(id) != 0)
        return tl::unexpected(
            outcome_unknown(refusal_reason::duplicate_request,
                            "a request with this id was already accepted"));

    if (dispatch.has_ticket()) {
        const auto earlier = tickets_.check(dispatch, now);
        if (!earlier)
            return tl::unexpected(earlier.error());
        if (*earlier && sessions_.find((*earlier)->work) != nullptr)
            return sessions_.attach((*earlier)->work, id, 0);
        if (*earlier)
            return tl::unexpected(outcome_unknown(
                refusal_reason::ticket_used, "the answer is no longer kept"));
    }
    if (const auto checked = check(dispatch, now); !checked)
        return tl::unexpected(checked.error());
    const auto work = create_session(dispatch, now);
    if (!work)
        return tl::unexpected(work.error());
    auto reader = sessions_.attach(*work, id, 0);
    admit(now, deferred);
    return reader;
}

outcome<void> gate::check(const link::Dispatch& dispatch, time_point now) const
{
    if (dispatch.incarnation() != 0 &&
        dispatch.incarnation() != settings_.incarnation)
        return tl::unexpected(
            not_run(refusal_reason::wrong_incarnation,
                    "the dispatch names another incarnation"));
    if (draining_)
        return tl::unexpected(drain_refusal());
    if (auto checked = check_notices(now); !checked)
        return checked;
    if (!engine_ready_)
        return tl::unexpected(no_upstream_refusal());
    if (dispatch.time_left_ms() == 0)
        return tl::unexpected(not_run(refusal_reason::deadline_passed));
    if (const auto why = poison_.grounds(suspected_work_of(dispatch), now))
        return tl::unexpected(not_run(refusal_reason::poison, describe(*why)));
    if (sessions_.full() || sessions_.kept_bytes() >= settings_.max_kept_bytes)
        return tl::unexpected(not_run(
            refusal_reason::queue_full,
            "too many answers are waiting to be fetched", short_retry_after));
    return {};
}

outcome<work_id> gate::create_session(const link::Dispatch& dispatch,
                                      time_point now)
{
    const auto time_left =
        clamp_time_left(dispatch.time_left_ms(), settings_.max_deadline);
    const auto [work, session] = sessions_.add(dispatch, now + time_left);
    session.generation = {settings_.upstream, settings_.incarnation, work,
                          random_u64()};
    session.suspect = dispatch.suspect() ||
                      poison_.is_request_suspected(dispatch.fingerprint(), now);
    const auto queued = admission_.enqueue(waiting_work_of(work, session), now);
    if (!queued) {
        sessions_.remove(work);
        return tl::unexpected(queued.error());
    }
    if (dispatch.has_ticket() && !tickets_.record_use(dispatch, work, now)) {
        admission_.remove(work, now);
        sessions_.remove(work);
        return tl::unexpected(not_run(refusal_reason::queue_full,
                                      "too many tickets are in use",
                                      short_retry_after));
    }
    return work;
}

outcome<reader_id> gate::resume(const link::Resume& resume, time_point now)
{
    const std::scoped_lock lock(mutex_);
    const auto work = find_for_resume(resume, now);
    if (!work)
        return tl::unexpected(work.error());
    return sessions_.attach(*work, resume.request_id(), resume.next_index());
}

outcome<work_id> gate::find_for_resume(const link::Resume& resume,
                                       time_point now)
{
    const bool by_generation = resume.has_generation();
    const auto incarnation = by_generation ? resume.generation().incarnation()
                                           : resume.incarnation();
    if (incarnation != settings_.incarnation)
        return tl::unexpected(
            outcome_unknown(refusal_reason::wrong_incarnation,
                            "the incarnation that ran this request has ended"));

    const auto work =
        by_generation
            ? sessions_.find_generation(read_message(resume.generation()))
            : sessions_.find_request(resume.request_id());
    const auto* session = sessions_.find(work);
    if (session != nullptr && session->request.team() == resume.team())
        return work;
    // The refusal must not disclose whether another team's generation exists.
    if (by_generation || session != nullptr)
        return tl::unexpected(failed(refusal_reason::generation_unknown,
                                     "no such generation is kept here"));
    // The dispatch has not arrived. The tombstone keeps it from running here.
    if (!add_tombstone(resume.request_id(), now))
        return tl::unexpected(
            outcome_unknown(refusal_reason::generation_unknown,
                            "too many refused requests are recorded"));
    return tl::unexpected(not_run(refusal_reason::generation_unknown,
                                  "this request did not begin on this agent"));
}

refusal gate::cancel(const link::Cancel& cancel, time_point now)
{
    deferred_calls deferred;
    refusal answer =
        not_run(refusal_reason::cancelled, "cancelled before it began");
    {
        const std::scoped_lock lock(mutex_);
        const auto work = sessions_.find_request(cancel.request_id());
        auto* session = sessions_.find(work);
        if (cancel.incarnation() != 0 &&
            cancel.incarnation() != settings_.incarnation) {
            answer = outcome_unknown(refusal_reason::wrong_incarnation);
        } else if (session == nullptr) {
            if (!add_tombstone(cancel.request_id(), now))
                answer = outcome_unknown(refusal_reason::cancelled);
        } else if (session->request.team() != cancel.team()) {
            answer = failed(refusal_reason::generation_unknown);
        } else {
            if (session->state != work_state::ended)
                abort_work(work, *session, refusal_reason::cancelled, now,
                           deferred);
            answer = session->refused.value_or(
                outcome_unknown(refusal_reason::cancelled,
                                "the request has ended or is still running"));
        }
    }
    run(deferred);
    return answer;
}

void gate::acknowledge(const link::Acknowledge& acknowledge, time_point now)
{
    const std::scoped_lock lock(mutex_);
    const auto work =
        acknowledge.has_generation()
            ? sessions_.find_generation(read_message(acknowledge.generation()))
            : sessions_.find_request(acknowledge.request_id());
    auto* session = sessions_.find(work);
    if (session == nullptr || session->state != work_state::ended)
        return;
    session->acknowledged = true;
    // A caller with a ticket may resend its call and must get this answer.
    if (!session->has_ticket())
        session->keep_until = now + settings_.acknowledged_grace;
}

reader_frames gate::pull(reader_id reader, std::size_t max_bytes,
                         time_point now)
{
    const std::scoped_lock lock(mutex_);
    auto pulled = sessions_.pull(reader, max_bytes);
    if (pulled.end && !pulled.frames.empty())
        *pulled.frames.back().mutable_load() = load_locked(now);
    return pulled;
}

void gate::detach(reader_id reader, time_point now)
{
    const std::scoped_lock lock(mutex_);
    auto* session = sessions_.find(sessions_.detach(reader));
    if (session == nullptr || !session->readers.empty() ||
        session->state == work_state::ended)
        return;
    session->orphan_deadline = now + settings_.resume_grace;
}

void gate::record_token(work_id work, const std::string& text, time_point now)
{
    deferred_calls deferred;
    {
        const std::scoped_lock lock(mutex_);
        auto* session = running_session(work);
        if (session == nullptr)
            return;
        if (session->replay.bytes() + text.size() >
            settings_.max_answer_bytes) {
            abort_work(work, *session, refusal_reason::answer_too_large, now,
                       deferred);
        } else {
            sessions_.append_token(*session, text);
            record_progress(*session, now);
            admission_.record_output_tokens(work, 1, now);
            wake_readers(*session, deferred);
            // The first token ends the prompt's processing, which may allow the
            // next work item to start.
            if (session->replay.next_index() == 1)
                admit(now, deferred);
        }
    }
    run(deferred);
}

void gate::record_finish(work_id work, const std::string& finish_reason,
                         time_point now)
{
    deferred_calls deferred;
    {
        const std::scoped_lock lock(mutex_);
        auto* session = running_session(work);
        if (session == nullptr)
            return;
        session->finish_reason = finish_reason;
        poison_.record_run(suspected_work_of(session->request),
                           run_progress::whole,
                           session->first_token_at.value_or(now), now);
        admission_.record_end(work, true, now);
        end(*session, now, deferred);
        admit(now, deferred);
    }
    run(deferred);
}

void gate::record_answer(work_id work, call_answer answer, time_point now)
{
    deferred_calls deferred;
    {
        const std::scoped_lock lock(mutex_);
        auto* session = running_session(work);
        if (session == nullptr)
            return;
        poison_.record_run(suspected_work_of(session->request),
                           run_progress::whole,
                           session->first_token_at.value_or(now), now);
        admission_.record_end(work, true, now);
        if (answer.body.size() > settings_.max_answer_bytes) {
            refuse(*session, outcome_unknown(refusal_reason::answer_too_large),
                   now, deferred);
        } else {
            sessions_.set_answer(*session, std::move(answer));
            end(*session, now, deferred);
        }
        admit(now, deferred);
    }
    run(deferred);
}

void gate::run_failed(work_id work, const refusal& why, time_point now)
{
    deferred_calls deferred;
    {
        const std::scoped_lock lock(mutex_);
        auto* session = running_session(work);
        if (session == nullptr)
            return;
        admission_.record_end(work, false, now);
        refuse(*session, why, now, deferred);
        admit(now, deferred);
    }
    run(deferred);
}

void gate::engine_lost(time_point now)
{
    deferred_calls deferred;
    {
        const std::scoped_lock lock(mutex_);
        engine_ready_ = false;
        ++load_change_;
        deferred.state_changed = true;
        const auto loss = next_loss_id();
        // The reclaim explains the loss, so no request is suspected.
        const bool being_reclaimed = reclaim_deadline_.has_value();
        for (auto& [work, session] : sessions_.all()) {
            if (session.state != work_state::running)
                continue;
            if (!being_reclaimed)
                mark_lost(session, loss, now);
            admission_.record_end(work, false, now);
            const refusal why =
                session.is_call()
                    ? outcome_unknown(
                          refusal_reason::upstream_lost,
                          "the application runner was lost during the call")
                    : failed(refusal_reason::engine_lost,
                             "the engine was lost during the generation");
            refuse(session, why, now, deferred);
        }
        refuse_all_waiting(no_upstream_refusal(), now, deferred);
    }
    run(deferred);
}

void gate::engine_ready(std::uint64_t external_tokens, time_point now)
{
    deferred_calls deferred;
    {
        const std::scoped_lock lock(mutex_);
        engine_ready_ = true;
        notices_.forget(settings_.upstream);
        ++load_change_;
        deferred.state_changed = true;
        admission_.set_external_memory(external_tokens);
        admit(now, deferred);
    }
    run(deferred);
}

void gate::drain(time_point now)
{
    deferred_calls deferred;
    {
        const std::scoped_lock lock(mutex_);
        if (!draining_) {
            ++load_change_;
            linger_deadline_ = now + settings_.drain_linger;
        }
        draining_ = true;
        deferred.state_changed = true;
        refuse_all_waiting(drain_refusal(), now, deferred);
    }
    run(deferred);
}

void gate::reclaim(time_point deadline, time_point now)
{
    {
        const std::scoped_lock lock(mutex_);
        reclaim_deadline_ = deadline;
    }
    drain(now);
}

void gate::apply_objective(objective goal)
{
    const std::scoped_lock lock(mutex_);
    admission_.apply_objective(goal);
}

void gate::update_engine_load(const engine_load_hint& hint, time_point now)
{
    deferred_calls deferred;
    {
        const std::scoped_lock lock(mutex_);
        admission_.update_engine_load(hint, now);
        admit(now, deferred);
    }
    run(deferred);
}

void gate::tick(time_point now)
{
    deferred_calls deferred;
    {
        const std::scoped_lock lock(mutex_);
        expire(now, deferred);
        admit(now, deferred);
    }
    run(deferred);
}

void gate::record_missed(duration missed)
{
    const std::scoped_lock lock(mutex_);
    linger_deadline_ += missed;
    for (auto& [work, session] : sessions_.all()) {
        if (session.orphan_deadline)
            *session.orphan_deadline += missed;
        if (session.state == work_state::ended)
            session.keep_until += missed;
    }
}

void gate::expire(time_point now, deferred_calls& deferred)
{
    for (const auto work : admission_.expired(now)) {
        auto* session = sessions_.find(work);
        if (session != nullptr)
            refuse(*session, not_run(refusal_reason::deadline_passed), now,
                   deferred);
    }
    std::vector<work_id> expired_sessions;
    for (auto& [work, session] : sessions_.all()) {
        if (session.state == work_state::ended) {
            if (now >= session.keep_until && session.readers.empty())
                expired_sessions.push_back(work);
        } else if (now >= session.deadline) {
            abort_work(work, session, refusal_reason::deadline_passed, now,
                       deferred);
        } else if (session.orphan_deadline && now >= *session.orphan_deadline) {
            abort_work(work, session, refusal_reason::cancelled, now, deferred);
        } else if (reclaim_deadline_ && now >= *reclaim_deadline_) {
            abort_work(work, session, refusal_reason::reclaimed, now, deferred);
        }
    }
    for (const auto work : expired_sessions)
        sessions_.remove(work);
}

void gate::abort_work(work_id work, work_session& session,
                      refusal_reason reason, time_point now,
                      deferred_calls& deferred)
{
    if (session.state == work_state::waiting) {
        admission_.remove(work, now);
        refuse(session, not_run(reason), now, deferred);
        return;
    }
    if (session.is_call() && reason == refusal_reason::cancelled) {
        // Stopping a call would leave its effect unknown. The call runs to its
        // end, and a caller with a ticket may still fetch the answer.
        session.orphan_deadline.reset();
        return;
    }
    deferred.stops.push_back(work);
    admission_.record_end(work, false, now);
    refuse(session,
           session.is_call() ? outcome_unknown(reason) : failed(reason), now,
           deferred);
}

void gate::refuse(work_session& session, const refusal& why, time_point now,
                  deferred_calls& deferred)
{
    session.refused = why;
    if (why.kind == refusal_kind::not_run) {
        // A delayed copy of the same dispatch must not run later.
        if (!add_tombstone(session.request.request_id(), now))
            session.refused->kind = refusal_kind::outcome_unknown;
        else if (session.has_ticket())
            tickets_.remove_use(session.request);
    }
    end(session, now, deferred);
}

void gate::end(work_session& session, time_point now, deferred_calls& deferred)
{
    session.state = work_state::ended;
    session.request.clear_body();
    session.keep_until = now + settings_.answer_grace;
    if (session.has_ticket())
        session.keep_until = std::max(session.keep_until, session.deadline);
    wake_readers(session, deferred);
}

void gate::refuse_all_waiting(const refusal& why, time_point now,
                              deferred_calls& deferred)
{
    for (auto& [work, session] : sessions_.all()) {
        if (session.state != work_state::waiting)
            continue;
        admission_.remove(work, now);
        refuse(session, why, now, deferred);
    }
}

void gate::admit(time_point now, deferred_calls& deferred)
{
    if (!engine_ready_)
        return;
    for (const auto work : admission_.admit(now)) {
        auto* session = sessions_.find(work);
        if (session == nullptr)
            continue;
        session->state = work_state::running;
        session->started_at = now;
        auto& request = session->request;
        deferred.starts.push_back(
            {work, request.request_id(), request.kind(), request.path(),
             request.body(), admission_.priority(work), session->deadline});
        request.clear_body();
        wake_readers(*session, deferred);
    }
}

bool gate::add_tombstone(const std::string& request_id, time_point now)
{
    return tombstones_.add(request_id, now + settings_.tombstone_lifetime, now);
}

work_session* gate::running_session(work_id work)
{
    auto* session = sessions_.find(work);
    if (session == nullptr || session->state != work_state::running)
        return nullptr;
    return session;
}

bool gate::should_run(work_id work) const
{
    const std::scoped_lock lock(mutex_);
    const auto* session = sessions_.find(work);
    return session != nullptr && session->state == work_state::running;
}

bool gate::draining() const
{
    const std::scoped_lock lock(mutex_);
    return draining_;
}

bool gate::drained(time_point now) const
{
    const std::scoped_lock lock(mutex_);
    if (!draining_ || now < linger_deadline_)
        return false;
    // The process's exit would lose an answer that was not fetched yet, and an
    // entry whose link is interrupted may still reconnect to fetch it.
    const auto& all = sessions_.all();
    return std::all_of(all.begin(), all.end(), [now](const auto& known) {
        const auto& session = known.second;
        return session.state == work_state::ended &&
               (session.acknowledged || now >= session.keep_until);
    });
}

link::LoadReport gate::load(time_point now) const
{
    const std::scoped_lock lock(mutex_);
    return load_locked(now);
}

link::LoadReport gate::load_locked(time_point now) const
{
    link::LoadReport report;
    report.set_upstream(settings_.upstream);
    report.set_incarnation(settings_.incarnation);
    report.set_uptime_ms(static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(now - settings_.started_at)
            .count()));
    report.set_leaving(draining_ || notices_.is_leaving(settings_.upstream));
    report.set_ready(engine_ready_);
    report.set_running(admission_.running());
    report.set_queued(admission_.queued());
    report.set_memory_tokens_used(admission_.memory_used());
    report.set_memory_tokens_total(admission_.memory_total());
    report.set_queued_tokens(admission_.queued_tokens());
    report.set_expected_wait_ms(
        static_cast<std::uint64_t>(admission_.expected_wait(now).count()));
    return report;
}

std::uint64_t gate::load_change() const
{
    const std::scoped_lock lock(mutex_);
    return load_change_;
}

void gate::visit(
    const std::function<void(work_id, const work_session&)>& visitor) const
{
    const std::scoped_lock lock(mutex_);
    for (const auto& [work, session] : sessions_.all())
        visitor(work, session);
}

void gate::run(const deferred_calls& deferred) const
{
    for (const auto work : deferred.stops)
        hooks_.stop(work);
    for (const auto& admitted : deferred.starts)
        hooks_.start(admitted);
    for (const auto reader : deferred.wakes)
        hooks_.wake(reader);
    if (deferred.state_changed)
        hooks_.state_changed();
}

} // namespace cyclamenrun

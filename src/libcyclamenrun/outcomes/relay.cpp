#include "relay.hpp"

#include "link_messages.hpp"

#include <algorithm>

namespace cyclamenrun
{

namespace
{

/** Whether every other upstream would refuse the request as well. */
bool refused_by_every_upstream(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::bad_request:
    case refusal_reason::unauthenticated:
    case refusal_reason::forbidden:
    case refusal_reason::unknown_service:
    case refusal_reason::too_large:
    case refusal_reason::deadline_passed:
    case refusal_reason::cancelled:
    case refusal_reason::ticket_invalid:
    case refusal_reason::ticket_expired:
    case refusal_reason::ticket_used:
    case refusal_reason::poison:
    case refusal_reason::duplicate_request:
    case refusal_reason::answer_too_large:
        return true;
    default:
        return false;
    }
}

/**
 * Shortens the remaining time by a tenth, at most 50 ms. The agent, which knows
 * whether the work has begun, then refuses it before the entry's own deadline.
 */
milliseconds dispatch_time_left(time_point deadline, time_point now)
{
    const auto left = time_left(deadline, now);
    const auto margin = std::min(left / 10, milliseconds(50));
    return std::max(left - margin, milliseconds(1));
}

void append(relay_actions& actions, relay_actions more)
{
    std::move(more.begin(), more.end(), std::back_inserter(actions));
}

} // namespace

relay::relay(relay_request request, relay_settings settings, relay_hooks hooks)
    : request_(std::move(request)), settings_(settings),
      hooks_(std::move(hooks))
{
}

relay_actions relay::start(time_point now)
{
    if (now >= request_.deadline)
        return refuse(not_run(refusal_reason::deadline_passed), now);
    if (request_.resume_after) {
        generation_ = request_.resume_after->generation;
        next_index_ = request_.resume_after->index + 1;
        target_ = {generation_->upstream, generation_->incarnation};
        token_delivered_ = true;
        may_have_run_ = true;
        reattach_deadline_ = now + settings_.reattach_window;
        return reattach(now);
    }
    return dispatch(now);
}

relay_actions relay::dispatch(time_point now)
{
    dispatch_at_.reset();
    const auto admission = hooks_.admit(request_.work, claim_, now);
    if (admission == poison_admission::refused)
        return refuse_poison(now);
    if (admission == poison_admission::wait) {
        dispatch_at_ = now + poison_wait;
        return {};
    }
    suspect_ = claim_.whole_request;
    return send(now);
}

relay_actions relay::send(time_point now)
{
    if (request_.ticket) {
        target_ = {request_.ticket->upstream(), request_.ticket->incarnation()};
    } else {
        const auto chosen = hooks_.choose(request_, excluded_, suspect_, now);
        if (!chosen)
            return refuse(chosen.error(), now);
        target_ = *chosen;
    }
    ++attempts_;
    sent_at_ = now;
    first_token_at_.reset();
    generation_.reset();
    buffered_tokens_.clear();
    buffered_bytes_ = 0;
    next_index_ = 0;
    invalid_streams_ = 0;
    reattaching_ = false;
    reattach_at_.reset();
    return {open("/dispatch", dispatch_frame(now))};
}

relay_actions relay::reattach(time_point)
{
    reattaching_ = true;
    reattach_at_.reset();
    return {open("/resume", resume_frame())};
}

relay_actions relay::on_frame(stream_number stream,
                              const link::AgentFrame& frame, time_point now)
{
    if (done_ || stream != stream_ || !stream_open_)
        return {};
    // Guards against a frame that is delivered on the wrong stream. Such a
    // frame has another request id; its content is ignored.
    if (frame.request_id() != attempt_id())
        return handle_protocol_error(
            "the agent sent a frame of another request", now);

    if (frame.has_refused()) {
        stream_open_ = false;
        const auto why = read_message(frame.refused());
        relay_actions actions;
        // The request is marked before it is retried: the agent's own report of
        // the loss may arrive after the next engine is lost as well.
        if (frame.loss() != 0)
            hooks_.engine_lost(lost_now(frame.loss(), now), now);
        end_solo();
        if (frame.kept())
            actions.emplace_back(acknowledge_message());
        append(actions, reattaching_ ? on_reattach_refused(why, now)
                                     : on_refused(why, now));
        return actions;
    }
    reattaching_ = false;
    switch (frame.what_case()) {
    case link::AgentFrame::kAccepted:
        return on_accepted(frame.accepted(), now);
    case link::AgentFrame::kTokens:
        return on_tokens(frame.tokens(), now);
    case link::AgentFrame::kFinished:
        return on_finished(frame.finished(), now);
    case link::AgentFrame::kAnswer:
        return on_answer(frame.answer());
    default:
        return {};
    }
}

relay_actions relay::on_accepted(const link::Accepted& accepted, time_point now)
{
    may_have_run_ = true;
    const auto id = read_message(accepted.generation());
    // Guards against splicing two generations: a resumed stream must continue
    // the generation whose tokens the caller has.
    if (generation_ && !(*generation_ == id))
        return handle_protocol_error("the agent resumed another generation",
                                     now);
    generation_ = id;
    return {};
}

relay_actions relay::on_tokens(const link::Tokens& tokens, time_point now)
{
    if (is_call() || !generation_)
        return handle_protocol_error(
            "the agent sent tokens without a generation", now);
    if (tokens.first_index() != next_index_)
        return handle_protocol_error("the tokens' indexes are not consecutive",
                                     now);
    if (!first_token_at_)
        first_token_at_ = now;
    else if (now - *first_token_at_ > settling_time)
        end_solo();
    const stream_position first{*generation_, next_index_};
    std::vector<std::string> texts(tokens.text().begin(), tokens.text().end());
    next_index_ += texts.size();
    if (request_.delivery == delivery_mode::stream) {
        token_delivered_ = true;
        return {write_tokens{first, std::move(texts)}};
    }
    for (auto& text : texts) {
        buffered_bytes_ += text.size();
        buffered_tokens_.push_back(std::move(text));
    }
    if (buffered_bytes_ > settings_.max_buffered_bytes)
        return abort_work(failed(refusal_reason::answer_too_large), now);
    return {};
}

relay_actions relay::on_finished(const link::Finished& finished, time_point now)
{
    if (is_call() || !generation_ || finished.token_count() != next_index_)
        return handle_protocol_error("the end frame does not match the tokens",
                                     now);
    done_ = true;
    stream_open_ = false;
    end_solo();
    return {write_end{*generation_, next_index_, finished.finish_reason(),
                      std::move(buffered_tokens_)},
            acknowledge_message()};
}

relay_actions relay::on_answer(const link::CallAnswer& answer)
{
    done_ = true;
    stream_open_ = false;
    end_solo();
    return {
        write_answer{{static_cast<int>(answer.status()), answer.content_type(),
                      answer.body(), !answer.unconfirmed()}},
        acknowledge_message()};
}

relay_actions relay::on_refused(const refusal& why, time_point now)
{
    if (why.kind == refusal_kind::not_run) {
        // A ticket binds its call to this agent: no other agent may run it.
        if (request_.ticket || refused_by_every_upstream(why.reason))
            return refuse(why, now);
        return try_elsewhere(why, now);
    }
    may_have_run_ = true;
    if (!may_run_again() || refused_by_every_upstream(why.reason))
        return refuse(why, now);
    return try_elsewhere(why, now);
}

relay_actions relay::on_reattach_refused(const refusal& why, time_point now)
{
    // Only the incarnation that received the work knows its outcome.
    if (why.reason == refusal_reason::wrong_incarnation)
        return handle_lost_agent(now);
    if (why.kind == refusal_kind::not_run && !token_delivered_)
        return try_elsewhere(why, now);
    return refuse(why, now);
}

relay_actions relay::on_stream_lost(stream_number stream,
                                    bool request_may_have_run, time_point now)
{
    if (done_ || stream != stream_ || !stream_open_)
        return {};
    stream_open_ = false;
    if (!request_may_have_run && !reattaching_ && !request_.ticket)
        return try_elsewhere(not_run(refusal_reason::no_upstream,
                                     "the agent could not be reached",
                                     milliseconds(1000)),
                             now);
    if (!reattaching_) {
        reattach_deadline_ = now + settings_.reattach_window;
        return reattach(now);
    }
    // Work that may run again does not wait for its agent to return.
    if (may_run_again() || now >= reattach_deadline_)
        return handle_lost_agent(now);
    reattach_at_ = now + settings_.reattach_delay;
    return {};
}

relay_actions relay::handle_lost_agent(time_point now)
{
    hooks_.agent_lost(lost_now(0, now), target_, now);
    end_solo();
    may_have_run_ = true;
    const auto detail = "the agent was lost while it had this request";
    if (may_run_again())
        return try_elsewhere(failed(refusal_reason::agent_lost, detail), now);
    return refuse(is_call()
                      ? outcome_unknown(refusal_reason::agent_lost, detail)
                      : failed(refusal_reason::agent_lost, detail),
                  now);
}

relay_actions relay::try_elsewhere(const refusal& why, time_point now)
{
    excluded_.push_back(target_.upstream);
    if (now >= request_.deadline)
        return refuse({why.kind, refusal_reason::deadline_passed, {}, {}}, now);
    if (attempts_ >= settings_.max_attempts)
        return refuse(why, now);
    if (const auto allowed = hooks_.spend_retry(request_.team, now); !allowed)
        return refuse({why.kind, refusal_reason::retry_budget_spent,
                       allowed.error().retry_after, why.detail},
                      now);
    auto actions = dispatch(now);
    // If no upstream is left, the original cause is the more useful refusal.
    auto* refused = actions.empty()
                        ? nullptr
                        : std::get_if<write_refusal>(&actions.front());
    if (refused != nullptr &&
        refused->why.reason == refusal_reason::no_upstream) {
        const auto retry_after = refused->why.retry_after;
        done_ = false;
        auto first_cause = why;
        if (!first_cause.retry_after)
            first_cause.retry_after = retry_after;
        return refuse(first_cause, now);
    }
    return actions;
}

relay_actions relay::refuse(refusal why, time_point)
{
    // An earlier attempt may have run even if the last one did not. With a
    // ticket all attempts go to the same agent, which knows of each.
    if (why.kind == refusal_kind::not_run && may_have_run_ && !request_.ticket)
        why.kind =
            is_call() ? refusal_kind::outcome_unknown : refusal_kind::failed;
    done_ = true;
    return {write_refusal{std::move(why)}};
}

relay_actions relay::abort_work(const refusal& why, time_point now)
{
    relay_actions actions{close_stream{stream_}, cancel_message()};
    stream_open_ = false;
    append(actions, refuse(why, now));
    return actions;
}

relay_actions relay::handle_protocol_error(const std::string& detail,
                                           time_point now)
{
    may_have_run_ = true;
    // The frames before this one were valid and the agent still has the rest,
    // so a new stream can deliver it. After a further invalid stream (see
    // max_invalid_streams) the attempt is abandoned.
    if (++invalid_streams_ < settings_.max_invalid_streams) {
        relay_actions actions{close_stream{stream_}};
        stream_open_ = false;
        reattach_deadline_ = now + settings_.reattach_window;
        append(actions, reattach(now));
        return actions;
    }
    relay_actions actions{close_stream{stream_}, cancel_message()};
    stream_open_ = false;
    if (may_run_again()) {
        append(
            actions,
            try_elsewhere(failed(refusal_reason::protocol_error, detail), now));
        return actions;
    }
    append(actions,
           refuse(is_call()
                      ? outcome_unknown(refusal_reason::protocol_error, detail)
                      : failed(refusal_reason::protocol_error, detail),
                  now));
    return actions;
}

relay_actions relay::on_caller_disconnected(time_point)
{
    if (done_)
        return {};
    done_ = true;
    relay_actions actions;
    if (stream_open_)
        actions.emplace_back(close_stream{stream_});
    // A caller that has received no token id can't resume, so the work is
    // cancelled.
    if (!token_delivered_ && !request_.ticket && stream_ > 0)
        actions.emplace_back(cancel_message());
    return actions;
}

relay_actions relay::on_time(time_point now)
{
    if (done_)
        return {};
    if (now >= request_.deadline) {
        if (stream_ == 0)
            return refuse(not_run(refusal_reason::deadline_passed), now);
        const bool began = generation_.has_value() && !is_call();
        return abort_work(
            began ? failed(refusal_reason::deadline_passed)
                  : outcome_unknown(refusal_reason::deadline_passed),
            now);
    }
    if (reattach_at_ && now >= *reattach_at_)
        return reattach(now);
    if (dispatch_at_ && now >= *dispatch_at_)
        return dispatch(now);
    return {};
}

void relay::record_missed(duration missed)
{
    reattach_deadline_ += missed;
}

time_point relay::next_event() const
{
    auto next = request_.deadline;
    for (const auto& due : {reattach_at_, dispatch_at_})
        if (due)
            next = std::min(next, *due);
    return next;
}

bool relay::may_run_again() const
{
    return request_.idempotent && !request_.ticket && !token_delivered_;
}

std::string relay::attempt_id() const
{
    return request_.id + '.' + std::to_string(attempts_);
}

open_stream relay::open(const std::string& path, const std::string& frame)
{
    stream_open_ = true;
    return {++stream_, target_.upstream, path, frame};
}

std::string relay::dispatch_frame(time_point now) const
{
    link::Dispatch dispatch;
    dispatch.set_request_id(attempt_id());
    dispatch.set_kind(request_.kind);
    dispatch.set_team(request_.team);
    dispatch.set_team_weight(request_.team_weight);
    dispatch.set_service(request_.service);
    dispatch.set_path(request_.path);
    dispatch.set_body(request_.body);
    dispatch.set_time_left_ms(static_cast<std::uint64_t>(
        dispatch_time_left(request_.deadline, now).count()));
    dispatch.set_prompt_tokens(request_.prompt_tokens);
    dispatch.set_max_output_tokens(request_.max_output_tokens);
    dispatch.set_fingerprint(request_.work.request);
    dispatch.set_suspect(suspect_);
    dispatch.set_idempotent(request_.idempotent);
    dispatch.set_attempt(static_cast<std::uint32_t>(attempts_));
    for (const auto block : request_.prefix_blocks)
        dispatch.add_prefix_blocks(block);
    for (const auto part : request_.work.parts)
        dispatch.add_prompt_parts(part);
    if (request_.ticket)
        *dispatch.mutable_ticket() = *request_.ticket;
    else
        dispatch.set_incarnation(target_.incarnation);
    return dispatch.SerializeAsString();
}

std::string relay::resume_frame() const
{
    link::Resume resume;
    resume.set_request_id(attempt_id());
    resume.set_team(request_.team);
    resume.set_next_index(next_index_);
    resume.set_incarnation(target_.incarnation);
    if (generation_)
        write_message(*generation_, *resume.mutable_generation());
    return resume.SerializeAsString();
}

send_message relay::cancel_message() const
{
    link::Cancel cancel;
    cancel.set_request_id(attempt_id());
    cancel.set_team(request_.team);
    cancel.set_incarnation(target_.incarnation);
    return {target_.upstream, "/cancel", cancel.SerializeAsString()};
}

send_message relay::acknowledge_message() const
{
    link::Acknowledge acknowledge;
    acknowledge.set_request_id(attempt_id());
    if (generation_)
        write_message(*generation_, *acknowledge.mutable_generation());
    return {target_.upstream, "/acknowledge", acknowledge.SerializeAsString()};
}

} // namespace cyclamenrun

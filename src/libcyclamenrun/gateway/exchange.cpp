#include "exchange.hpp"

#include "http_text.hpp"
#include "prompt_parts.hpp"
#include "request_fingerprint.hpp"
#include "response_classification.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

namespace
{

/**
 * Timeouts of connections for streams. A stream may continue after a network
 * partition, and callers wait for 7 s or more; other requests are retried
 * sooner.
 */
constexpr connection_timeouts stream_timeouts{milliseconds(10000),
                                              milliseconds(5000)};
/**
 * Part of the bytes for a slow caller that it must take before its upstream is
 * read again. A small part, since upstreams abort responses that stay unread
 * for some seconds.
 */
constexpr std::size_t output_step_part = 8;

} // namespace

exchange::exchange(gateway_context& context, caller_request request,
                   std::shared_ptr<answer_writer> writer)
    : context_(context), served_{.request = std::move(request),
                                 .routes = context.routes},
      conclusion_(context, served_, std::move(writer), [this] { end(); }),
      permit_(context, served_), account_(served_.request.held.account())
{
    // A request that no connection counted.
    if (!account_)
        account_ = std::make_shared<input_account>(context.reactor->input());
    response_held_ = held_bytes(account_);
}

exchange::~exchange()
{
    context_.running.erase(this);
}

void exchange::start()
{
    const auto alive = shared_from_this();
    self_ = alive;
    context_.running.insert(this);
    auto facts = context_.dialect->read_request(served_.request.head);
    if (!facts) {
        conclusion_.refuse(facts.error());
        return;
    }
    served_.facts = std::move(*facts);
    if (context_.log_every_step)
        conclusion_.recorder().follow(served_.facts.id);
    const auto now = boot_now();
    served_.configuration_age =
        context_.lease.age(now).value_or(milliseconds(0));
    const auto admitted = admit_request(
        served_.routes.get(), context_.lease.valid(now), served_.facts,
        served_.request.head.target, served_.request.arrived);
    if (!admitted) {
        conclusion_.refuse(admitted.error());
        return;
    }
    served_.admitted = *admitted;
    served_.work = suspected_work(
        request_fingerprint(
            served_.admitted.team != nullptr ? served_.admitted.team->name : "",
            served_.request.head, served_.request.body),
        shared_part_fingerprints(served_.facts.prompt_parts));
    served_.profile =
        request_profile(served_.routes, served_.admitted, served_.facts);
    conclusion_.admit();
    if (refuse_if_stopping())
        return;
    context_.reactor->post_at(served_.admitted.deadline,
                              [weak = weak_from_this()] {
                                  if (const auto self = weak.lock())
                                      self->expire();
                              });
    search_ = std::make_shared<upstream_search>(context_, served_, conclusion_,
                                                search_hooks());
    continuation_ = std::make_unique<generation_continuation>(
        context_, served_, conclusion_, continuation_hooks());
    if (resumes_stream())
        find_origin();
    else
        dispatch();
}

bool exchange::outlasts_process() const
{
    if (!context_.stop_at)
        return false;
    const auto& route = *served_.admitted.route;
    // Usual times bound nothing. They suffice for what may be repeated, and
    // while callers still arrive at their usual rate, since a refusal costs
    // each of them a retry.
    if (context_.listener_closed && !route.idempotent)
        return served_.admitted.deadline > *context_.stop_at;
    const auto expected =
        route.shape == answer_shape::event_stream
            ? served_.profile.longest_duration()
            : context_.route_response_times.usual_bound(route.name)
                  .value_or(milliseconds(0));
    return context_.reactor->now() + expected > *context_.stop_at;
}

// Choice of an upstream.

void exchange::dispatch()
{
    if (!may_send())
        return;
    if (served_.service.empty())
        set_service(choose_service(*served_.admitted.route, context_.random));
    if (conclusion_.refuse_if_evacuated() || refuse_without_version() ||
        conclusion_.refuse_without_room())
        return;
    search_->start();
}

bool exchange::may_send()
{
    // The lease may have expired during a wait or a suspension of the VM.
    if (!context_.lease.valid(boot_now())) {
        conclusion_.refuse(gateway_refusal::no_configuration);
        return false;
    }
    if (refuse_if_stopping())
        return false;
    const auto admission = permit_.admit();
    if (may_run(admission))
        return true;
    if (admission == poison_admission::refused)
        conclusion_.refuse_poison();
    else
        dispatch_later();
    return false;
}

void exchange::dispatch_later()
{
    context_.reactor->post_at(context_.reactor->now() + poison_wait,
                              [weak = weak_from_this()] {
                                  const auto self = weak.lock();
                                  if (self && !self->conclusion_.over())
                                      self->dispatch();
                              });
}

void exchange::end_if_poison()
{
    if (conclusion_.over() || conclusion_.answer().begun() ||
        (attempt_ && attempt_->responding()) || !permit_.is_convicted())
        return;
    drop_attempt();
    conclusion_.refuse_poison();
}

std::string
exchange::request_for(const upstream_record& upstream,
                      const std::optional<continuation>& resume_from)
{
    dispatch_facts facts;
    facts.time_left =
        time_left(served_.admitted.deadline, context_.reactor->now());
    facts.upstream_id = upstream.id;
    if (served_.admitted.team != nullptr)
        facts.team = served_.admitted.team->name;
    facts.resume_from = resume_from;
    if (facts.resume_from || conclusion_.answer().begun())
        facts.last_event_id = conclusion_.answer().last_event_id();
    continuation_->choose_backup(upstream);
    if (continuation_->backup())
        facts.backup = continuation_->backup()->address;
    const auto head =
        context_.dialect->upstream_head(served_.request.head, facts);
    const bool has_body =
        !served_.request.body.empty() || served_.request.head.chunked ||
        served_.request.head.find("Content-Length").has_value();
    return request_text(head,
                        has_body ? http_framing::length : http_framing::none,
                        served_.request.body.size()) +
           served_.request.body;
}

bool exchange::send_now(const upstream_record& upstream,
                        const std::optional<continuation>& resume_from)
{
    const bool repeats = conclusion_.history().may_have_arrived();
    const bool fits = context_.choice.fits(upstream, served_.version,
                                           context_.reactor->now());
    if (!may_run(permit_.admit())) {
        end_start(upstream);
        conclusion_.refuse_poison();
        return false;
    }
    // The stop may have begun while the request waited.
    if (refuse_if_stopping()) {
        end_start(upstream);
        return false;
    }
    if (!fits || !conclusion_.draw_send()) {
        end_start(upstream);
        conclusion_.refuse(fits ? gateway_refusal::upstreams_busy
                                : gateway_refusal::version_gone);
        return false;
    }
    upstream_attempt::request outgoing;
    outgoing.upstream = upstream;
    outgoing.id = served_.facts.id;
    outgoing.text = request_for(upstream, resume_from);
    // An idle connection may be dead without notice; losing a generation costs
    // far more than the millisecond for a new connection.
    outgoing.new_connection =
        served_.admitted.route->shape == answer_shape::event_stream;
    if (outgoing.new_connection)
        outgoing.timeouts = stream_timeouts;
    outgoing.has_no_response_body = served_.request.head.method == "HEAD";
    outgoing.account = account_;
    const auto now = context_.reactor->now();
    outgoing.connect_deadline = now + served_.profile.connect_timeout();
    permit_.begin_run();
    continuation_->set_origin(resume_from);
    if (served_.solo)
        conclusion_.recorder().sent_solo(served_.service, permit_.on_trial());
    if (repeats)
        conclusion_.recorder().repeated(served_.service,
                                        resume_from.has_value());
    conclusion_.begin_attempt(upstream);
    // A resumed generation does not prefill its prompt again.
    if (context_.limits.cold().cold_left(upstream.id, now) >
        milliseconds::zero())
        conclusion_.recorder().sent_cold(
            served_.service, context_.limits.has_room(upstream.id, now));
    context_.limits.record_send(upstream.id, now);
    context_.upstreams.record_dispatch(
        upstream.id, resume_from ? 0 : served_.facts.prompt_tokens, now);
    const auto self = shared_from_this();
    upstream_attempt::hooks on;
    on.head = [self](http_head&& head, const response_facts& facts) {
        self->handle_head(std::move(head), facts);
    };
    on.body = [self](std::string_view bytes) { self->handle_body(bytes); };
    on.ended = [self](receipt_end how) { self->handle_response_end(how); };
    on.lost = [self](attempt_loss loss) { self->handle_loss(loss); };
    attempt_ = std::make_shared<upstream_attempt>(
        context_.reactor, context_.connections, *context_.dialect,
        std::move(outgoing), std::move(on));
    attempt_->start();
    arm_response_timeout();
    return true;
}

void exchange::release_attempt()
{
    if (attempt_) {
        context_.upstreams.record_completion(attempt_->upstream().id);
        // A generation that has begun is part of its engine's load, which the
        // monitor polls.
        if (!conclusion_.answer().begun())
            end_start(attempt_->upstream());
    }
    attempt_.reset();
}

void exchange::end_start(const upstream_record& upstream)
{
    if (search_->uses_monitors())
        context_.monitors->end_start(upstream.address.host, served_.facts.id);
}

void exchange::drop_attempt()
{
    if (!attempt_)
        return;
    attempt_->cancel();
    conclusion_.end_attempt(attempt_result::lost);
    release_attempt();
    permit_.release();
}

// Events of an attempt.

void exchange::handle_head(http_head&& head, const response_facts& facts)
{
    context_.upstreams.record_connection_success(attempt_->upstream().id);
    // Another process answers for a misdirected request.
    if (!is_misdirected(head.status)) {
        context_.record_limit(attempt_->upstream(), facts.request_limit);
        context_.record_notice(attempt_->upstream().id, facts.notice);
    }
    // A resumed generation does not prefill its prompt, so its response time
    // is not typical.
    if (!continuation_->has_origin())
        context_.route_response_times.add(
            served_.admitted.route->name,
            time_since(conclusion_.attempt_began(), context_.reactor->now()));
    conclusion_.answer().handle_head(std::move(head), facts);
}

void exchange::handle_body(std::string_view bytes)
{
    if (conclusion_.over())
        return;
    const auto progress =
        conclusion_.answer().handle_body(bytes, context_.reactor->now());
    if (!progress) {
        handle_event_problem(progress.error());
        return;
    }
    if (!count_response())
        return;
    permit_.record_part();
    if (!progress->relayed)
        return;
    fix_version();
    conclusion_.recorder().record_late_part(*progress, served_.tried.back(),
                                            conclusion_.answer().events());
    record_events(*progress);
    pause_if_caller_is_slow();
    // A generation that had not begun when its engine was reported to leave
    // can be moved once its first event has arrived.
    const auto* state =
        attempt_ ? context_.upstreams.find(attempt_->upstream().id) : nullptr;
    if (state != nullptr && state->leaving)
        upstream_leaving(state->record.id, state->leaves_at);
}

void exchange::handle_event_problem(event_problem problem)
{
    if (problem == event_problem::gap || !attempt_)
        conclusion_.cut(name_of(problem));
    else
        attempt_->abandon(attempt_loss::oversized);
}

bool exchange::count_response()
{
    auto& answer = conclusion_.answer();
    const auto excess = response_held_.update(answer.buffer_bytes());
    if (excess && attempt_) {
        attempt_->abandon(*excess == input_excess::exchange
                              ? attempt_loss::oversized
                              : attempt_loss::no_room);
        return false;
    }
    // Callers that read slowly have filled the process: one that waits for
    // little is served on.
    const auto& input = *context_.reactor->input();
    if (input.held() <= input.limit() ||
        answer.unsent_bytes() <= input_budget::min_output)
        return true;
    record_rejected_response(attempt_loss::no_room, served_.tried.back());
    conclusion_.cut(name_of(attempt_loss::no_room));
    return false;
}

void exchange::pause_if_caller_is_slow()
{
    const auto limit = context_.reactor->input()->output_limit();
    if (!attempt_ || conclusion_.answer().unsent_bytes() <= limit)
        return;
    attempt_->pause_reading(true);
    conclusion_.answer().on_drained(limit - limit / output_step_part,
                                    [weak = std::weak_ptr(attempt_)] {
                                        if (const auto attempt = weak.lock())
                                            attempt->pause_reading(false);
                                    });
}

void exchange::record_events(const answer_relay::progress& progress) const
{
    // Before the first part the time is that of the prompt.
    if (progress.was_first || progress.events == 0 || !attempt_ ||
        !search_->uses_monitors() ||
        served_.admitted.route->gap_target <= milliseconds::zero())
        return;
    context_.monitors->record_events(attempt_->upstream().address.host,
                                     progress.events, progress.pause);
}

void exchange::handle_response_end(receipt_end how)
{
    if (conclusion_.over())
        return;
    auto& answer = conclusion_.answer();
    answer.end_response(how);
    if (answer.integrity() == answer_integrity::unconfirmed &&
        !conclusion_.classify_complete() && !continuation_->stop_ordered())
        check_sender();
    else
        settle_response();
}

void exchange::check_sender()
{
    context_.crashes->check(
        attempt_->upstream(),
        [weak = weak_from_this(),
         watched = std::weak_ptr(attempt_)](upstream_liveness found) {
            const auto self = weak.lock();
            const auto attempt = watched.lock();
            if (!self || !attempt || attempt != self->attempt_)
                return;
            if (found == upstream_liveness::crashed)
                self->conclusion_.answer().record_sender_stop();
            self->settle_response();
        });
}

void exchange::settle_response()
{
    auto& answer = conclusion_.answer();
    if (continuation_->stop_ordered())
        answer.record_sender_stop();
    // A response that is not passed on needs no ending for the caller.
    const bool usable = answer.integrity() != answer_integrity::broken_off &&
                        (conclusion_.classify_complete().has_value() ||
                         delivers(answer.ending()));
    if (usable)
        handle_complete();
    else
        handle_loss(attempt_loss::broken);
}

void exchange::handle_complete()
{
    const auto id = attempt_->upstream().id;
    release_attempt();
    permit_.release();
    const auto result = conclusion_.classify_complete();
    conclusion_.end_attempt(result);
    if (!result) {
        context_.upstreams.record_success(id, context_.reactor->now());
        permit_.record_success(id);
        conclusion_.record_attempt("complete", "deliver");
        if (conclusion_.answer().relaying())
            conclusion_.finish();
        else
            conclusion_.deliver();
        return;
    }
    if (*result != attempt_result::turned_away)
        context_.upstreams.record_failure(id, context_.reactor->now());
    if (is_misdirected(conclusion_.answer().status()))
        context_.upstreams.record_misdirected(id,
                                              context_.reactor->awake_now());
    continue_after(*result);
}

void exchange::continue_after(attempt_result result)
{
    if (result == attempt_result::turned_away &&
        continuation_->resume_at_source())
        return;
    const auto step = conclusion_.step_after(result, permit_.on_trial());
    conclusion_.record_attempt(name_of(result), name_of(step));
    if (step == attempt_step::again || step == attempt_step::again_free)
        dispatch();
    else
        conclusion_.conclude(step);
}

void exchange::upstream_leaving(const std::string& upstream_id,
                                std::optional<time_point> leaves_at)
{
    if (!conclusion_.over() && attempt_ &&
        attempt_->upstream().id == upstream_id)
        continuation_->engine_leaving(attempt_->upstream(), leaves_at);
}

} // namespace cyclamenrun

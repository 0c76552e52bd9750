#include "exchange.hpp"

#include "log_event.hpp"
#include "prompt_parts.hpp"

#include <memory>
#include <utility>

namespace cyclamenrun
{

// Losses and missing responses of attempts.

namespace
{

/**
 * Longest wait for a check whether an upstream has crashed. A host that is
 * reachable refuses a connection within a few milliseconds.
 */
constexpr milliseconds max_crash_check{60};

/**
 * Time in which an upstream that was evacuated acknowledges a request sent
 * before. A link that loses packets needs some retransmissions; a link that was
 * cut may deliver the request when it heals, up to 10 s later, when nothing may
 * arrive there any more.
 */
constexpr milliseconds evacuated_receipt{1500};

/** True if this process ended the attempt, not its upstream. */
bool is_rejection(attempt_loss loss)
{
    return loss == attempt_loss::oversized || loss == attempt_loss::no_room;
}

} // namespace

void exchange::domain_evacuated()
{
    if (conclusion_.over() || !awaits_response() ||
        !context_.choice.is_evacuated(attempt_->upstream()))
        return;
    context_.reactor->post_timeout(
        context_.reactor->awake_now() + evacuated_receipt,
        [weak = weak_from_this(), watched = std::weak_ptr(attempt_)] {
            const auto self = weak.lock();
            const auto attempt = watched.lock();
            if (self && attempt && attempt == self->attempt_ &&
                self->context_.choice.is_evacuated(attempt->upstream()))
                attempt->abort_if_unreceived();
        });
}

void exchange::handle_loss(attempt_loss loss)
{
    if (conclusion_.over())
        return;
    const auto upstream = attempt_->upstream();
    const auto& id = upstream.id;
    // Recorded first, since the mover may start the next attempt at once.
    const auto ended = conclusion_.attempt_record();
    const auto run = permit_.lost_now(attempt_->responding());
    const auto result = loss == attempt_loss::not_sent
                            ? attempt_result::not_sent
                            : attempt_result::lost;
    conclusion_.end_attempt(result);
    release_attempt();
    if (is_rejection(loss)) {
        record_rejected_response(loss, id);
        conclusion_.answer().drop_response();
        response_held_.update(0);
    }
    if (continuation_->source_ended()) {
        conclusion_.recorder().attempt_ended(ended, "moving", "go_on");
        return;
    }
    if (loss == attempt_loss::not_sent)
        context_.upstreams.record_connection_failure(id,
                                                     context_.reactor->now());
    else if (loss != attempt_loss::no_room)
        context_.upstreams.record_failure(id, context_.reactor->now());
    if (!is_rejection(loss))
        context_.upstreams.record_connection_loss(id, context_.reactor->now());
    const auto* state = context_.upstreams.find(id);
    // An upstream that leaves ends with its requests, whatever they are.
    const bool leaves = state != nullptr && state->leaving;
    // Nor does one crash whose response is rejected.
    const bool may_have_crashed = !leaves && !is_rejection(loss);
    if (conclusion_.answer().begun() && state != nullptr && may_have_crashed)
        context_.record_crash(id);
    if (loss == attempt_loss::not_sent || !may_have_crashed) {
        permit_.release();
        continue_after_loss(upstream, result, upstream_liveness::unchecked);
        return;
    }
    context_.crashes->record_loss(
        upstream,
        {served_.facts.id, run, prompt_parts_text(served_.facts.prompt_parts)});
    await_crash_check(upstream);
}

void exchange::record_rejected_response(attempt_loss loss,
                                        const std::string& id)
{
    context_.metrics.count(exported_metric::input_rejected,
                           {"upstream", std::string(name_of(loss))});
    log_event(log_severity::warning, log_event_name::upstream_input_rejected,
              {{log_key::request_id, served_.facts.id},
               {log_key::upstream, id},
               {log_key::service, served_.service},
               {log_key::reason, name_of(loss)},
               {log_key::bytes, account_->held()}});
}

void exchange::await_crash_check(const upstream_record& upstream)
{
    // Once only: the check may have no result for long.
    const auto go_on =
        [weak = weak_from_this(), upstream,
         done = std::make_shared<bool>(false)](upstream_liveness found) {
            const auto self = weak.lock();
            if (!self || std::exchange(*done, true) || self->conclusion_.over())
                return;
            self->permit_.release();
            self->continue_after_loss(upstream, attempt_result::lost, found);
        };
    const auto& reactor = context_.reactor;
    reactor->post_timeout(reactor->awake_now() + max_crash_check,
                          [go_on] { go_on(upstream_liveness::unknown); });
    context_.crashes->check(upstream, go_on);
}

void exchange::continue_after_loss(const upstream_record& upstream,
                                   attempt_result result,
                                   upstream_liveness found)
{
    if (result != attempt_result::lost ||
        !continuation_->resume_after_loss(upstream, found))
        continue_after(result);
}

void exchange::arm_response_timeout()
{
    const auto limit = conclusion_.response_timeout();
    if (!limit)
        return;
    context_.reactor->post_timeout(
        context_.reactor->awake_deadline(conclusion_.attempt_began() + *limit),
        [weak = weak_from_this(), watched = std::weak_ptr(attempt_)] {
            const auto self = weak.lock();
            const auto attempt = watched.lock();
            if (self && attempt && attempt == self->attempt_)
                self->handle_response_timeout();
        });
}

bool exchange::awaits_response() const
{
    return attempt_ && !attempt_->responding();
}

void exchange::handle_response_timeout()
{
    const auto now = context_.reactor->now();
    const auto id = attempt_->upstream().id;
    const auto* state = context_.upstreams.find(id);
    // A request in an engine's queue would lose its position.
    const bool queues =
        state != nullptr && state->load && state->load->queued > 0;
    const bool has_time =
        now + served_.admitted.route->objective < served_.admitted.deadline;
    if (conclusion_.over() || !awaits_response() || queues || !has_time ||
        !search_->has_alternative() || !conclusion_.reserve_repeat())
        return;
    context_.upstreams.record_failure(id, now);
    drop_attempt();
    continue_after(attempt_result::lost);
}

} // namespace cyclamenrun

#include "generation_move.hpp"

#include <utility>

namespace cyclamenrun
{

std::string_view name_of(move_failure failure)
{
    switch (failure) {
    case move_failure::not_running:
        return "not_running";
    case move_failure::no_room:
        return "no_room";
    case move_failure::no_budget:
        return "no_budget";
    case move_failure::evacuated:
        return "evacuated";
    case move_failure::uncertain:
        return "uncertain";
    case move_failure::unreachable:
        return "unreachable";
    }
    return "uncertain";
}

generation_move::generation_move(gateway_context& context,
                                 std::string request_id, upstream_record source,
                                 upstream_record destination,
                                 time_point deadline, hooks on)
    : context_(context), request_id_(std::move(request_id)),
      source_(std::move(source)), destination_(std::move(destination)),
      deadline_(deadline), on_(std::move(on))
{
}

void generation_move::start()
{
    send_order(false);
}

void generation_move::send_order(bool stop_first)
{
    stop_ordered_ = stop_first;
    const auto& dialect = *context_.dialect;
    context_.engine_client_pool.idle_client(source_)->call(
        dialect.move_call(),
        dialect.move_body(request_id_, destination_.address, stop_first),
        deadline_, [self = shared_from_this()](call_outcome outcome) {
            self->handle_reply(std::move(outcome));
        });
}

void generation_move::send_stop_order()
{
    const auto now = context_.reactor->now();
    const auto rest = context_.notices.rest_left(source_.id, now);
    if (rest == milliseconds::zero()) {
        const bool evacuated = context_.choice.is_evacuated(destination_);
        if (!evacuated && on_.may_stop()) {
            send_order(true);
            return;
        }
        free_copy();
        fail(evacuated ? move_failure::evacuated : move_failure::no_budget);
        return;
    }
    context_.reactor->post_at(now + rest, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && !self->over_)
            self->send_stop_order();
    });
}

void generation_move::handle_reply(call_outcome outcome)
{
    if (outcome)
        context_.record_notice(source_.id,
                               context_.dialect->read_notice(*outcome));
    if (over_)
        return;
    if (!outcome) {
        if (outcome.error() == call_failure::unreachable) {
            // An order that was not sent has stopped nothing.
            stop_ordered_ = false;
            fail(move_failure::unreachable);
            return;
        }
        fail(stop_ordered_ ? move_failure::uncertain : move_failure::no_room);
        return;
    }
    const auto reply = context_.dialect->read_move(*outcome);
    switch (reply.result) {
    case move_reply::kind::copied:
        handle_copied(reply);
        return;
    case move_reply::kind::not_running:
        fail(move_failure::not_running);
        return;
    case move_reply::kind::under_way:
    case move_reply::kind::no_room:
        fail(move_failure::no_room,
             stop_ordered_ ? ended_run::from_order(reply, source_, destination_)
                           : std::nullopt);
        return;
    case move_reply::kind::invalid_reply:
        fail(move_failure::uncertain);
        return;
    }
}

void generation_move::handle_copied(const move_reply& reply)
{
    handle_ = reply.handle;
    if (!stop_ordered_) {
        send_stop_order();
        return;
    }
    const auto ended = ended_run::from_order(reply, source_, destination_);
    if (!ended) {
        fail(move_failure::uncertain);
        return;
    }
    over_ = true;
    const auto on = std::exchange(on_, {});
    on.stopped(*ended);
}

void generation_move::fail(move_failure failure,
                           const std::optional<ended_run>& at_source)
{
    over_ = true;
    const auto on = std::exchange(on_, {});
    on.failed(failure, at_source);
}

std::optional<continuation> generation_move::copy() const
{
    if (handle_.empty())
        return std::nullopt;
    return continuation{source_.address, handle_};
}

void generation_move::cancel()
{
    if (std::exchange(over_, true))
        return;
    on_ = {};
    free_copy();
}

void generation_move::free_copy()
{
    // The call takes no generation away from a source that is to get nothing.
    const bool wants_nothing =
        context_.choice.is_evacuated(source_) ||
        context_.notices.is_resting(source_.id, context_.reactor->now());
    if (handle_.empty() || wants_nothing)
        return;
    context_.engine_client_pool.idle_client(source_)->call(
        context_.dialect->free_copy_call(handle_), {}, deadline_,
        [](const call_outcome&) {
            // The outcome is ignored: engines expire copies that are not freed.
        });
}

} // namespace cyclamenrun

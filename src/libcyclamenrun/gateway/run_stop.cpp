#include "run_stop.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

namespace
{

/** The reply follows the copy of the run's memory, which may wait. */
constexpr milliseconds order_timeout{3000};
/** Time without a reply until it is checked whether the engine is gone. */
constexpr milliseconds order_check_delay{1000};
constexpr milliseconds query_timeout{300};
constexpr milliseconds repeat_interval{100};

} // namespace

std::string_view name_of(run_end how)
{
    switch (how) {
    case run_end::process_gone:
        return "process_gone";
    case run_end::stopped:
        return "stopped";
    case run_end::not_running:
        return "not_running";
    }
    return "not_running";
}

run_stop::run_stop(gateway_context& context, std::string request_id,
                   upstream_record source,
                   std::optional<upstream_record> destination,
                   time_point give_up_at, hooks on)
    : context_(context), request_id_(std::move(request_id)),
      source_(std::move(source)), destination_(std::move(destination)),
      give_up_at_(give_up_at), on_(std::move(on))
{
}

void run_stop::start()
{
    context_.reactor->post([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->order_stop();
    });
}

void run_stop::order_stop()
{
    if (over_)
        return;
    // Nothing may be sent to these; what they run is unknown meanwhile.
    const auto now = context_.reactor->now();
    if (context_.choice.is_evacuated(source_) ||
        context_.notices.is_resting(source_.id, now)) {
        repeat();
        return;
    }
    if (!destination_) {
        query_runs(false);
        return;
    }
    generation_move::hooks on;
    on.stopped = [weak = weak_from_this()](continuation memory) {
        const auto self = weak.lock();
        if (self && !self->over_)
            self->end(
                {run_end::stopped, std::move(memory), self->destination_});
    };
    on.failed =
        [weak = weak_from_this()](move_failure failure,
                                  const std::optional<continuation>& kept) {
            const auto self = weak.lock();
            if (self && !self->over_)
                self->handle_failure(failure, kept);
        };
    move_ = std::make_shared<generation_move>(
        context_, request_id_, source_, *destination_,
        std::min(now + order_timeout, give_up_at_), on);
    move_->stop_at_once();
    context_.reactor->post_timeout(
        context_.reactor->awake_now() + order_check_delay,
        [weak = weak_from_this(), watched = std::weak_ptr(move_)] {
            const auto self = weak.lock();
            const auto move = watched.lock();
            if (self && !self->over_ && move && move == self->move_)
                self->check_source();
        });
}

void run_stop::check_source()
{
    if (context_.choice.is_evacuated(source_) ||
        context_.notices.is_resting(source_.id, context_.reactor->now()))
        return;
    context_.engine_client_pool.idle_client(source_)->call(
        context_.dialect->load_call(), {},
        context_.reactor->now() + query_timeout,
        [weak = weak_from_this(),
         watched = std::weak_ptr(move_)](const call_outcome& outcome) {
            const auto self = weak.lock();
            const auto move = watched.lock();
            const bool is_awaited =
                self && !self->over_ && move && move == self->move_;
            if (!is_awaited || outcome ||
                outcome.error() != call_failure::unreachable)
                return;
            move->cancel();
            self->end({run_end::process_gone});
        });
}

void run_stop::handle_failure(move_failure failure,
                              const std::optional<continuation>& kept)
{
    move_.reset();
    if (kept)
        end({run_end::stopped, kept, source_});
    else
        query_runs(failure == move_failure::not_running);
}

void run_stop::query_runs(bool denied)
{
    context_.engine_client_pool.idle_client(source_)->call(
        context_.dialect->load_call(), {},
        context_.reactor->now() + query_timeout,
        [weak = weak_from_this(), denied](const call_outcome& outcome) {
            const auto self = weak.lock();
            if (self && !self->over_)
                self->handle_runs(outcome, denied);
        });
}

void run_stop::handle_runs(const call_outcome& outcome, bool denied)
{
    if (!outcome) {
        // An engine that has the query and is slow may work on the run.
        if (outcome.error() == call_failure::unreachable)
            end({run_end::process_gone});
        else
            repeat();
        return;
    }
    const auto load = context_.dialect->read_load(*outcome);
    const bool is_listed =
        load && std::any_of(load->generations.begin(), load->generations.end(),
                            [&](const resident_generation& each) {
                                return each.id == request_id_;
                            });
    if (is_listed || (!load && !denied))
        repeat();
    else
        end({run_end::not_running});
}

void run_stop::repeat()
{
    const auto next = context_.reactor->now() + repeat_interval;
    const bool gives_up = next >= give_up_at_;
    context_.reactor->post_at(std::min(next, give_up_at_),
                              [weak = weak_from_this(), gives_up] {
                                  const auto self = weak.lock();
                                  if (!self || self->over_)
                                      return;
                                  if (!gives_up) {
                                      self->order_stop();
                                      return;
                                  }
                                  self->over_ = true;
                                  self->on_.given_up();
                              });
}

void run_stop::end(const ended_run& ended)
{
    over_ = true;
    on_.ended(ended);
}

void run_stop::cancel()
{
    if (std::exchange(over_, true))
        return;
    if (move_)
        move_->cancel();
}

} // namespace cyclamenrun

#include "generation_mover.hpp"

#include <utility>

namespace cyclamenrun
{

namespace
{

/**
 * Time for the source's last events to arrive after the stop order, which takes
 * a few milliseconds; then its connection is dropped.
 */
constexpr milliseconds last_events_timeout{60};
/** Delay until a new search, when destinations may have room again. */
constexpr milliseconds retry_delay{120};
/** Longer than any reclaim notice, which is 1.5 to 2.1 s. */
constexpr milliseconds order_timeout{3000};
/** Bounds the moves of one generation, since each causes a pause. */
constexpr unsigned max_moves = 16;

} // namespace

std::string_view name_of(move_step step)
{
    switch (step) {
    case move_step::source_turn_wanted:
        return "source_turn_wanted";
    case move_step::source_turn_given:
        return "source_turn_given";
    case move_step::no_budget:
        return "no_budget";
    case move_step::no_destination:
        return "no_destination";
    case move_step::destination_turn_wanted:
        return "destination_turn_wanted";
    case move_step::ordered:
        return "ordered";
    }
    return "ordered";
}

generation_mover::generation_mover(gateway_context& context,
                                   std::string request_id, hooks on)
    : context_(context), request_id_(std::move(request_id)), on_(std::move(on))
{
}

void generation_mover::source_leaving(const upstream_record& source)
{
    const bool under_way = move_ || pending_ || unconfirmed_ || turn_requested_;
    if (over_ || under_way || moves_ >= max_moves)
        return;
    // The order to copy would be a request as well.
    const auto rest =
        context_.notices.rest_left(source.id, context_.reactor->now());
    if (rest > milliseconds::zero()) {
        wait(source, rest);
        return;
    }
    if (waits_)
        return;
    const bool has_destination = on_.has_destination(source);
    if (!has_destination || !on_.reserve()) {
        on_.step(has_destination ? move_step::no_budget
                                 : move_step::no_destination,
                 source);
        wait(source, retry_delay);
        return;
    }
    if (!context_.monitors) {
        choose_destination(source);
        return;
    }
    turn_requested_ = true;
    source_ended_ = false;
    on_.step(move_step::source_turn_wanted, source);
    monitor_link::turn_hooks on;
    on.granted = [weak = weak_from_this(), source] {
        if (const auto self = weak.lock())
            self->handle_source_turn(source);
    };
    context_.monitors->request_turn(
        {source.address.host, request_id_, on_.memory_tokens()}, std::move(on));
}

void generation_mover::handle_source_turn(const upstream_record& source)
{
    if (over_)
        return;
    on_.step(move_step::source_turn_given, source);
    search_destination(source);
}

void generation_mover::release_turns()
{
    if (!std::exchange(turn_requested_, false) || !context_.monitors)
        return;
    if (const auto search = std::exchange(search_, nullptr))
        search->end();
    context_.monitors->end_turn(request_id_);
}

void generation_mover::choose_destination(const upstream_record& source)
{
    const bool may_move = !over_ && !source_ended_ && on_.runs_at(source);
    // The destination that had no room is skipped only once: it may be the only
    // one left.
    const auto refused_by = std::exchange(refused_by_, {});
    const auto to =
        may_move ? on_.destination(source, refused_by) : std::nullopt;
    if (to)
        start(source, *to);
    else
        handle_no_destination(source);
}

void generation_mover::handle_no_destination(const upstream_record& source)
{
    if (!over_ && !source_ended_ && on_.runs_at(source))
        on_.step(move_step::no_destination, source);
    release_turns();
    retry_later(source);
}

void generation_mover::search_destination(const upstream_record& source)
{
    copy_turn_search::hooks on;
    on.candidates = [weak = weak_from_this(), source,
                     refused_by = std::exchange(refused_by_, {})](
                        std::vector<std::string> exclude, std::size_t count) {
        const auto self = weak.lock();
        if (!self || self->over_)
            return std::vector<upstream_record>();
        exclude.push_back(source.id);
        // Skipped only once, since it may be the only destination left.
        exclude.push_back(refused_by);
        return self->on_.candidates(source, exclude, count);
    };
    on.cost = [weak = weak_from_this(), source](const upstream_record& engine) {
        const auto self = weak.lock();
        return self && !self->over_ ? self->on_.cost(source, engine) : 0.0;
    };
    on.found = [weak = weak_from_this(), source](const upstream_record& to) {
        const auto self = weak.lock();
        if (self && !self->over_ && !self->source_ended_ &&
            self->on_.runs_at(source))
            self->start(source, to);
    };
    on.none = [weak = weak_from_this(), source] {
        if (const auto self = weak.lock())
            self->handle_no_destination(source);
    };
    on_.step(move_step::destination_turn_wanted, source);
    search_ = std::make_shared<copy_turn_search>(
        context_, request_id_, on_.memory_tokens(), std::move(on));
    search_->start();
}

void generation_mover::start(const upstream_record& source,
                             const upstream_record& to)
{
    ++moves_;
    on_.step(move_step::ordered, to);
    generation_move::hooks on;
    on.stopped = [weak = weak_from_this(), source, to](const ended_run& ended) {
        if (const auto self = weak.lock())
            self->handle_stopped(ended, source, to);
    };
    on.failed = [weak = weak_from_this(),
                 source](move_failure failure,
                         const std::optional<ended_run>& at_source) {
        if (const auto self = weak.lock())
            self->handle_failure(failure, at_source, source);
    };
    on.may_stop = [weak = weak_from_this()] {
        const auto self = weak.lock();
        return self && !self->over_ && self->on_.spend();
    };
    move_ = std::make_shared<generation_move>(
        context_, request_id_, source, to,
        context_.reactor->now() + order_timeout, std::move(on));
    move_->start();
}

void generation_mover::handle_stopped(const ended_run& ended,
                                      const upstream_record& source,
                                      const upstream_record& to)
{
    release_turns();
    move_.reset();
    if (over_)
        return;
    on_.move_ended(source, to, std::nullopt);
    pending_ = ended;
    resume_after_last_events();
}

void generation_mover::resume_after_last_events()
{
    if (source_ended_) {
        resume();
        return;
    }
    context_.reactor->post_timeout(context_.reactor->awake_now() +
                                       last_events_timeout,
                                   [weak = weak_from_this()] {
                                       if (const auto self = weak.lock())
                                           self->resume();
                                   });
}

void generation_mover::resume()
{
    if (over_ || !pending_)
        return;
    const auto ended = *std::exchange(pending_, std::nullopt);
    if (!std::exchange(source_ended_, false))
        on_.drop_source();
    refused_by_.clear();
    // Copied, since the call may destroy the exchange and this mover.
    const auto resume = on_.resume;
    resume(ended);
}

bool generation_mover::source_ended()
{
    if (unconfirmed_)
        pending_ = std::exchange(unconfirmed_, std::nullopt);
    if (pending_) {
        source_ended_ = true;
        resume();
        return true;
    }
    if (move_ && move_->stop_ordered()) {
        source_ended_ = true;
        return true;
    }
    release_turns();
    if (move_)
        move_->cancel();
    move_.reset();
    return false;
}

void generation_mover::handle_failure(move_failure failure,
                                      const std::optional<ended_run>& at_source,
                                      const upstream_record& source)
{
    release_turns();
    const auto move = std::exchange(move_, nullptr);
    if (over_)
        return;
    on_.move_ended(source, move->destination(), failure);
    if (failure == move_failure::no_room)
        refused_by_ = move->destination().id;
    const auto copy = move->copy();
    if (copy && failure == move_failure::uncertain) {
        handle_uncertain_stop(*copy, source);
        return;
    }
    if (at_source) {
        pending_ = at_source;
        resume_after_last_events();
        return;
    }
    if (std::exchange(source_ended_, false)) {
        const auto lost = on_.lost;
        lost(source);
        return;
    }
    retry_later(source);
}

void generation_mover::handle_uncertain_stop(const continuation& copy,
                                             const upstream_record& source)
{
    const auto ended = ended_run::from_stream_end(copy, source);
    if (source_ended_) {
        pending_ = ended;
        resume_after_last_events();
        return;
    }
    unconfirmed_ = ended;
    context_.reactor->post_timeout(
        context_.reactor->awake_now() + last_events_timeout,
        [weak = weak_from_this(), source] {
            const auto self = weak.lock();
            if (!self || self->over_ || !self->unconfirmed_)
                return;
            // The stream continues, so the source did
            // not receive the order. Starting the
            // generation elsewhere would run it twice.
            self->unconfirmed_.reset();
            self->retry_later(source);
        });
}

void generation_mover::retry_later(const upstream_record& source)
{
    if (over_)
        return;
    on_.release();
    context_.reactor->post_at(context_.reactor->now() + retry_delay,
                              [weak = weak_from_this(), source] {
                                  const auto self = weak.lock();
                                  if (self && !self->over_ &&
                                      self->on_.runs_at(source))
                                      self->source_leaving(source);
                              });
}

void generation_mover::wait(const upstream_record& source, milliseconds delay)
{
    // The source is reported as leaving again with each event of its stream.
    if (std::exchange(waits_, true))
        return;
    context_.reactor->post_at(context_.reactor->now() + delay,
                              [weak = weak_from_this(), source] {
                                  const auto self = weak.lock();
                                  if (!self || self->over_)
                                      return;
                                  self->waits_ = false;
                                  if (self->on_.runs_at(source))
                                      self->source_leaving(source);
                              });
}

void generation_mover::cancel()
{
    if (std::exchange(over_, true))
        return;
    release_turns();
    if (move_)
        move_->cancel();
    move_.reset();
    on_ = {};
}

} // namespace cyclamenrun

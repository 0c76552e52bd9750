#include "run_stop.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

namespace
{

/** The reply follows the copy of the run's memory, which may wait. */
constexpr milliseconds order_timeout{3000};
/** Time without a reply until it is checked whether the process is gone. */
constexpr milliseconds check_delay{300};
/**
 * A check lasts half a second. A lossy link or a full queue of connections
 * loses the packets of one check.
 */
constexpr unsigned max_unanswered_checks = 2;
constexpr milliseconds query_timeout{300};
constexpr milliseconds repeat_interval{100};

} // namespace

run_stop::run_stop(gateway_context& context, std::string request_id,
                   upstream_record source,
                   std::optional<upstream_record> destination,
                   time_point give_up_at, hooks on)
    : context_(context), request_id_(std::move(request_id)),
      source_(std::move(source)), destination_(std::move(destination)),
      lost_at_(context.reactor->now()), give_up_at_(give_up_at),
      on_(std::move(on))
{
    context_.lost_run_hosts.insert(source_.address.host);
}

run_stop::~run_stop()
{
    auto& hosts = context_.lost_run_hosts;
    hosts.erase(hosts.find(source_.address.host));
}

void run_stop::start()
{
    context_.reactor->post([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->order_stop();
    });
}

bool run_stop::is_source_barred() const
{
    return context_.choice.is_evacuated(source_) ||
           context_.notices.is_resting(source_.id, context_.reactor->now());
}

void run_stop::order_stop()
{
    if (over_)
        return;
    if (is_source_barred())
        repeat();
    else if (destination_)
        send_order(*destination_);
    else
        query_load(false);
}

void run_stop::send_order(const upstream_record& destination)
{
    generation_move::hooks on;
    on.stopped = [weak = weak_from_this()](const ended_run& ended) {
        const auto self = weak.lock();
        if (self && !self->over_)
            self->end(ended);
    };
    on.failed =
        [weak = weak_from_this()](move_failure failure,
                                  const std::optional<ended_run>& at_source) {
            const auto self = weak.lock();
            if (!self || self->over_)
                return;
            self->move_.reset();
            if (!self->end_if_known(at_source))
                self->handle_failure(failure);
        };
    move_ = std::make_shared<generation_move>(
        context_, request_id_, source_, destination,
        std::min(context_.reactor->now() + order_timeout, give_up_at_), on);
    move_->stop_at_once();
    check_later();
}

void run_stop::check_later()
{
    context_.reactor->post_timeout(
        context_.reactor->awake_now() + check_delay,
        [weak = weak_from_this(), watched = std::weak_ptr(move_)] {
            const auto self = weak.lock();
            const auto move = watched.lock();
            if (self && !self->over_ && move && move == self->move_ &&
                !self->is_source_barred())
                self->check_process();
        });
}

void run_stop::handle_failure(move_failure failure)
{
    if (failure == move_failure::not_running) {
        query_load(true);
        return;
    }
    if (failure == move_failure::unreachable)
        check_process();
    // An engine that replies to no order may still report its runs.
    const auto reportable_at = lost_at_ + context_.dialect->max_load_age();
    if (context_.reactor->now() >= reportable_at)
        query_load(false);
    else
        repeat();
}

void run_stop::check_process()
{
    if (std::exchange(checking_, true))
        return;
    context_.crashes->check(source_,
                            [weak = weak_from_this()](upstream_liveness found) {
                                const auto self = weak.lock();
                                if (!self || self->over_)
                                    return;
                                self->checking_ = false;
                                self->handle_check(found);
                            });
}

void run_stop::handle_check(upstream_liveness found)
{
    if (end_if_known(ended_run::from_check(found)))
        return;
    if (found == upstream_liveness::unchecked)
        return;
    if (found == upstream_liveness::alive) {
        unanswered_checks_ = 0;
        return;
    }
    const bool host_responds =
        context_.monitors &&
        context_.monitors->is_responding(source_.address.host);
    if (++unanswered_checks_ < max_unanswered_checks || host_responds)
        check_process();
    else
        end(ended_run::from_silence());
}

void run_stop::query_load(bool denied)
{
    const auto asked_at = context_.reactor->now();
    context_.engine_client_pool.idle_client(source_)->call(
        context_.dialect->load_call(), {}, asked_at + query_timeout,
        [weak = weak_from_this(), denied,
         asked_at](const call_outcome& outcome) {
            const auto self = weak.lock();
            if (self && !self->over_)
                self->handle_load(outcome, denied, asked_at);
        });
}

void run_stop::handle_load(const call_outcome& outcome, bool denied,
                           time_point asked_at)
{
    if (!outcome) {
        if (outcome.error() == call_failure::unreachable)
            check_process();
        repeat();
        return;
    }
    const auto load = context_.dialect->read_load(*outcome);
    const auto* known = load ? &*load : nullptr;
    std::optional<ended_run> ended;
    if (denied)
        ended = ended_run::from_denial(request_id_, known);
    else if (known != nullptr)
        ended = ended_run::from_report(
            request_id_, {*known, asked_at - context_.dialect->max_load_age()},
            lost_at_);
    if (!end_if_known(ended))
        repeat();
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

bool run_stop::end_if_known(const std::optional<ended_run>& ended)
{
    if (ended)
        end(*ended);
    return ended.has_value();
}

void run_stop::end(const ended_run& ended)
{
    over_ = true;
    if (const auto move = std::exchange(move_, nullptr))
        move->cancel();
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

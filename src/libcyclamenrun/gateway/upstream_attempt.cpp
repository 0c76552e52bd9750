#include "upstream_attempt.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

namespace
{

/** Idle time before a kept connection is closed if the peer names none. */
constexpr milliseconds default_idle{4000};
/**
 * A kept connection is given up this long before its peer closes it, since a
 * request that crosses the close has an unknown outcome. Delays between
 * failure domains are below 10 ms; the rest is for a busy process.
 */
constexpr milliseconds idle_margin{700};
constexpr http_limits response_limits{std::size_t(64) << 10, std::size_t(64)
                                                                 << 20};

} // namespace

std::string_view name_of(attempt_loss loss)
{
    switch (loss) {
    case attempt_loss::not_sent:
        return "not_sent";
    case attempt_loss::broken:
        return "broken";
    }
    return "broken";
}

upstream_attempt::upstream_attempt(std::shared_ptr<link_reactor> reactor,
                                   upstream_channels& channels,
                                   const gateway_dialect& dialect, request what,
                                   hooks on)
    : reactor_(std::move(reactor)), channels_(channels), dialect_(dialect),
      request_(std::move(what)),
      on_(std::make_shared<const hooks>(std::move(on))),
      reader_(http_message_kind::response, response_limits,
              {[this](http_head&& head) { take_head(std::move(head)); },
               [this](std::string_view bytes) { take_body(bytes); },
               {}})
{
    if (request_.has_no_response_body)
        reader_.expect_no_body();
}

void upstream_attempt::start()
{
    channel_ =
        request_.new_connection
            ? channels_.open(request_.upstream, request_.patience).channel
            : channels_.take(request_.upstream, reactor_->now()).channel;
    if (!channel_) {
        reactor_->post([self = shared_from_this()] {
            self->lose(attempt_loss::not_sent);
        });
        return;
    }
    tcp_channel::hooks on;
    on.received = [self = shared_from_this()](std::string_view bytes) {
        self->read(bytes);
    };
    on.ended = [self = shared_from_this()](channel_end how) {
        self->connection_ended(how);
    };
    channel_->replace_hooks(std::move(on));
    channel_->send(request_.text);
    if (!channel_->established())
        arm_connect_deadline();
}

void upstream_attempt::arm_connect_deadline()
{
    reactor_->post_at(request_.connect_deadline, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && !self->over_ && !self->channel_->established())
            self->lose(attempt_loss::not_sent);
    });
}

void upstream_attempt::cancel()
{
    if (std::exchange(over_, true))
        return;
    on_.reset();
    if (channel_)
        channel_->close();
}

void upstream_attempt::pause_reading(bool paused)
{
    if (!over_ && channel_)
        channel_->pause_reading(paused);
}

void upstream_attempt::read(std::string_view bytes)
{
    const auto self = shared_from_this();
    auto read = reader_.feed(bytes);
    while (read && !over_ && reader_.complete()) {
        if (!skipping_) {
            complete();
            return;
        }
        if (!peer_keeps_) {
            lose(attempt_loss::broken);
            return;
        }
        skipping_ = false;
        read = reader_.next_message();
    }
    if (!read && !over_)
        lose(attempt_loss::broken);
}

void upstream_attempt::take_head(http_head&& head)
{
    if (over_)
        return;
    // An interim response is not the answer.
    const bool interim = head.status < 200;
    facts_ = dialect_.read_response(head);
    peer_keeps_ = head.keep_alive;
    // Upstreams name the request in every success: one without a name is a
    // stray answer, which came after the next request was sent.
    const bool unnamed = facts_.request_id.empty();
    const bool other =
        unnamed ? is_success(head.status) : facts_.request_id != request_.id;
    skipping_ = interim || other;
    answering_ = answering_ || !skipping_;
    const auto on = on_;
    if (!skipping_ && on->head)
        on->head(std::move(head), facts_);
}

void upstream_attempt::take_body(std::string_view bytes)
{
    const auto on = on_;
    if (!over_ && !skipping_ && on->body)
        on->body(bytes);
}

void upstream_attempt::connection_ended(channel_end how)
{
    if (over_)
        return;
    // A body without a length ends with its connection, but only with one
    // that ends in good order: after a reset something may be missing.
    if (how == channel_end::finished && reader_.head_complete() && !skipping_ &&
        reader_.end_of_connection() && reader_.complete()) {
        complete();
        return;
    }
    lose(how == channel_end::unreachable ? attempt_loss::not_sent
                                         : attempt_loss::broken);
}

void upstream_attempt::complete()
{
    if (std::exchange(over_, true))
        return;
    keep_or_close();
    const auto on = std::exchange(on_, nullptr);
    if (on->complete)
        on->complete();
}

void upstream_attempt::lose(attempt_loss loss)
{
    if (std::exchange(over_, true))
        return;
    if (channel_)
        channel_->close();
    const auto on = std::exchange(on_, nullptr);
    if (on->lost)
        on->lost(loss);
}

void upstream_attempt::keep_or_close()
{
    // A response that came before the request was out leaves the upstream
    // reading the rest of it; whatever else were sent there would be taken
    // for that rest.
    const bool clean = !request_.new_connection && peer_keeps_ &&
                       !reader_.has_surplus() && channel_->open() &&
                       channel_->unsent_bytes() == 0;
    if (!clean) {
        channel_->close();
        return;
    }
    const auto idle = facts_.keeps_idle.value_or(default_idle);
    if (idle <= idle_margin) {
        channel_->close();
        return;
    }
    channel_->pause_reading(false);
    channels_.keep(request_.upstream.id, std::move(channel_),
                   reactor_->now() + idle - idle_margin);
}

} // namespace cyclamenrun

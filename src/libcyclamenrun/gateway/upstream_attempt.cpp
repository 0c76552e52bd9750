#include "upstream_attempt.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

namespace
{

/** Idle timeout of a connection whose peer states none. */
constexpr milliseconds default_idle_timeout{4000};
/**
 * An idle connection is closed this long before its peer would close it, since
 * a request sent while the peer closes has an unknown outcome. Delays between
 * failure domains are below 10 ms; the rest allows for a busy process.
 */
constexpr milliseconds idle_margin{700};
constexpr http_limits response_limits{std::size_t(64) << 10, std::size_t(64)
                                                                 << 20};
/**
 * Bytes that may be read without a part of the response: 1xx heads, late
 * responses to other requests, framing. Late responses of plain services have
 * 800 B on average.
 */
constexpr std::size_t max_empty_bytes = std::size_t(256) << 10;

} // namespace

std::string_view name_of(attempt_loss loss)
{
    switch (loss) {
    case attempt_loss::not_sent:
        return "not_sent";
    case attempt_loss::broken:
        return "broken";
    case attempt_loss::oversized:
        return "oversized";
    case attempt_loss::no_room:
        return "no_room";
    }
    return "broken";
}

upstream_attempt::upstream_attempt(std::shared_ptr<link_reactor> reactor,
                                   upstream_connections& connections,
                                   const gateway_dialect& dialect, request what,
                                   hooks on)
    : reactor_(std::move(reactor)), connections_(connections),
      dialect_(dialect), request_(std::move(what)),
      on_(std::make_shared<const hooks>(std::move(on))),
      reader_(http_message_kind::response, response_limits,
              {[this](http_head&& head) { handle_head(std::move(head)); },
               [this](std::string_view bytes) { handle_body(bytes); },
               {}}),
      pending_held_(request_.account)
{
    if (request_.has_no_response_body)
        reader_.expect_no_body();
}

void upstream_attempt::start()
{
    connection_ =
        request_.new_connection
            ? connections_.open(request_.upstream, request_.timeouts)
            : connections_.acquire(request_.upstream, reactor_->now());
    if (!connection_) {
        reactor_->post([self = shared_from_this()] {
            self->lose(attempt_loss::not_sent);
        });
        return;
    }
    tcp_connection::hooks on;
    on.received = [self = shared_from_this()](std::string_view bytes) {
        self->read(bytes);
    };
    on.ended = [self = shared_from_this()](connection_end how) {
        self->connection_ended(how);
    };
    connection_->replace_hooks(std::move(on));
    connection_->count_output(request_.account);
    connection_->send(request_.text);
    // The connection has its own copy until it is sent.
    std::string().swap(request_.text);
    if (!connection_->established())
        arm_connect_deadline();
}

void upstream_attempt::arm_connect_deadline()
{
    reactor_->post_timeout(reactor_->awake_deadline(request_.connect_deadline),
                           [weak = weak_from_this()] {
                               const auto self = weak.lock();
                               if (self && !self->over_ &&
                                   !self->connection_->established())
                                   self->lose(attempt_loss::not_sent);
                           });
}

void upstream_attempt::cancel()
{
    if (std::exchange(over_, true))
        return;
    on_.reset();
    if (connection_)
        close_connection();
}

void upstream_attempt::close_connection()
{
    // After an orderly close the system would send the rest again until the
    // link heals, and a request that was given up would arrive then.
    if (connection_->has_unacknowledged_bytes())
        connection_->abort();
    else
        connection_->close();
}

void upstream_attempt::abort_if_unreceived()
{
    const bool received = over_ || reader_.head_complete() || !connection_ ||
                          !connection_->has_unacknowledged_bytes();
    if (received)
        return;
    lose(attempt_loss::broken);
}

void upstream_attempt::pause_reading(bool paused)
{
    if (!over_ && connection_)
        connection_->pause_reading(paused);
}

void upstream_attempt::read(std::string_view bytes)
{
    const auto self = shared_from_this();
    empty_bytes_ += bytes.size();
    auto read = reader_.feed(bytes);
    while (read && !over_ && reader_.complete()) {
        if (!skipping_) {
            end_response(receipt_end::framed);
            return;
        }
        if (!peer_keeps_open_) {
            lose(attempt_loss::broken);
            return;
        }
        skipping_ = false;
        read = reader_.next_message();
    }
    if (!read && !over_)
        lose(is_oversized(read.error()) ? attempt_loss::oversized
                                        : attempt_loss::broken);
    if (!over_)
        check_bounds();
}

void upstream_attempt::check_bounds()
{
    const auto excess = pending_held_.update(reader_.pending_bytes());
    if (empty_bytes_ > max_empty_bytes || excess == input_excess::exchange)
        lose(attempt_loss::oversized);
    else if (excess)
        lose(attempt_loss::no_room);
}

void upstream_attempt::handle_head(http_head&& head)
{
    if (over_)
        return;
    const bool interim = is_interim(head.status);
    facts_ = dialect_.read_response(head);
    peer_keeps_open_ = head.keep_alive;
    // Upstreams return the request id in every success. A success without an id
    // is a stray response that arrived after the next request was sent.
    const bool lacks_id = facts_.request_id.empty();
    const bool is_stray =
        lacks_id ? is_success(head.status) : facts_.request_id != request_.id;
    skipping_ = interim || is_stray;
    responding_ = responding_ || !skipping_;
    const auto on = on_;
    if (!skipping_ && on->head)
        on->head(std::move(head), facts_);
}

void upstream_attempt::handle_body(std::string_view bytes)
{
    const auto on = on_;
    if (over_ || skipping_)
        return;
    empty_bytes_ = 0;
    if (on->body)
        on->body(bytes);
}

void upstream_attempt::connection_ended(connection_end how)
{
    if (over_)
        return;
    if (how == connection_end::finished && reader_.head_complete() &&
        !skipping_) {
        end_response(receipt_end::closed);
        return;
    }
    lose(never_established(how) ? attempt_loss::not_sent
                                : attempt_loss::broken);
}

void upstream_attempt::end_response(receipt_end how)
{
    const auto self = shared_from_this();
    if (std::exchange(over_, true))
        return;
    keep_or_close();
    const auto on = std::exchange(on_, nullptr);
    if (on->ended)
        on->ended(how);
}

void upstream_attempt::lose(attempt_loss loss)
{
    const auto self = shared_from_this();
    if (std::exchange(over_, true))
        return;
    if (connection_)
        close_connection();
    pending_held_.update(0);
    const auto on = std::exchange(on_, nullptr);
    if (on->lost)
        on->lost(loss);
}

void upstream_attempt::keep_or_close()
{
    // If the response arrived before the request was sent completely, the
    // upstream still expects the rest of the request, and would read the next
    // request as that rest.
    const bool reusable = !request_.new_connection && peer_keeps_open_ &&
                          !reader_.has_surplus() && connection_->open() &&
                          connection_->unsent_bytes() == 0;
    if (!reusable) {
        connection_->close();
        return;
    }
    connection_->count_output(nullptr);
    const auto idle = facts_.keep_alive_timeout.value_or(default_idle_timeout);
    if (idle <= idle_margin) {
        connection_->close();
        return;
    }
    connection_->pause_reading(false);
    connections_.keep(request_.upstream.id, std::move(connection_),
                      reactor_->now() + idle - idle_margin);
}

} // namespace cyclamenrun

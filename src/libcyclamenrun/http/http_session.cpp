#include "http_session.hpp"

#include "http_text.hpp"
#include "session_writer.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

namespace
{

/** Bound on bytes buffered from pipelined requests. */
constexpr std::size_t max_pipelined_bytes = std::size_t(256) << 10;
/**
 * Buffered bytes below which a caller that was paused is read again. Reading
 * on after each request would add more than the request has taken.
 */
constexpr std::size_t min_pipelined_bytes = std::size_t(32) << 10;
/**
 * How long a closing connection is still read. Closing with unread bytes would
 * reset the connection, and the caller could lose the answer.
 */
constexpr milliseconds linger_time{1000};
/**
 * Bytes that a closing connection is still read, if its request may not be
 * larger: callers that send a whole request before they read get the answer.
 */
constexpr std::size_t min_linger_bytes = std::size_t(1) << 20;
/**
 * Bytes of answers that a caller has not taken, above which its next request
 * waits. Otherwise a caller that reads nothing could add answers without end.
 */
constexpr std::size_t max_untaken_bytes = std::size_t(64) << 10;
/**
 * How long a connection is kept in a stop for the next request, if its last
 * answer did not announce the end of the connection.
 */
constexpr milliseconds last_request_time{500};
/** Until bytes that have arrived are read, at the latest. */
constexpr milliseconds read_delay{1};
constexpr milliseconds retry_after_no_room{1000};
/** Memory of a field beside its text. */
constexpr std::size_t field_bytes = sizeof(http_field);

unsigned status_of(http_problem problem)
{
    switch (problem) {
    case http_problem::header_too_long:
        return 431;
    case http_problem::body_too_long:
        return 413;
    case http_problem::no_room:
        return 503;
    case http_problem::malformed:
    case http_problem::truncated:
    case http_problem::framing_too_long:
        return 400;
    }
    return 400;
}

/** Approximate memory of a head. */
std::size_t size_of(const http_head& head)
{
    std::size_t size = head.target.size();
    for (const auto& field : head.fields)
        size += field_bytes + field.name.size() + field.value.size();
    return size;
}

bool has_no_body(unsigned status)
{
    return status < 200 || status == 204 || status == 304;
}

} // namespace

http_session::http_session(std::shared_ptr<link_reactor> reactor,
                           std::shared_ptr<tcp_connection> connection,
                           std::shared_ptr<const session_hooks> hooks)
    : reactor_(std::move(reactor)), connection_(std::move(connection)),
      hooks_(std::move(hooks)),
      account_(std::make_shared<input_account>(reactor_->input())),
      pending_held_(account_)
{
}

void http_session::start()
{
    tcp_connection::hooks on;
    on.received = [self = shared_from_this()](std::string_view bytes) {
        self->read(bytes);
    };
    on.ended = [self = shared_from_this()](connection_end) {
        self->handle_disconnect();
    };
    on.drained = [self = shared_from_this()] { self->drained(); };
    connection_->start(std::move(on));
    connection_->count_output(account_);
    limits_ = hooks_->limits();
    reader_ = std::make_unique<http_reader>(
        http_message_kind::request, limits_.message,
        http_reader::hooks{
            [this](http_head&& head) { handle_head(std::move(head)); },
            [this](std::string_view bytes) { request_.body += bytes; },
            {}});
    idle_since_ = reactor_->awake_now();
    set_deadline(idle_since_ + limits_.idle_timeout);
}

void http_session::read(std::string_view bytes)
{
    if (closing_) {
        report_dropped();
        lingered_ += bytes.size();
        if (lingered_ > std::max(min_linger_bytes, limits_.message.body_bytes))
            connection_->close();
        return;
    }
    if (serving_ || reader_->complete()) {
        buffer(bytes);
        return;
    }
    if (!reader_->in_message())
        begin_request();
    handle_read_result(reader_->feed(bytes));
}

void http_session::begin_request()
{
    request_.arrived = reactor_->now();
    limits_ = hooks_->limits();
    reader_->set_limits(limits_.message);
}

void http_session::buffer(std::string_view bytes)
{
    (void)reader_->feed(bytes);
    const auto excess = pending_held_.update(reader_->pending_bytes());
    // TCP flow control stops the caller.
    if (excess || reader_->pending_bytes() > max_pipelined_bytes)
        connection_->pause_reading(true);
}

std::optional<input_excess> http_session::count_request()
{
    if (!request_.held.account())
        request_.held = held_bytes(account_);
    const auto excess =
        request_.held.update(size_of(request_.head) + request_.body.capacity());
    const auto pending = pending_held_.update(reader_->pending_bytes());
    return excess ? excess : pending;
}

void http_session::drop_request()
{
    // An assignment would keep the body's buffer.
    const auto dropped = std::exchange(request_, {});
    reader_->drop_pending();
    pending_held_.update(0);
}

void http_session::handle_head(http_head&& head)
{
    request_.head = std::move(head);
    request_keep_alive_ = request_.head.keep_alive;
    const auto expected = request_.head.find("Expect");
    if (expected && same_field_name(*expected, "100-continue"))
        connection_->send("HTTP/1.1 100 Continue\r\n\r\n");
}

void http_session::handle_read_result(
    const tl::expected<void, http_problem>& result)
{
    if (!result) {
        reject(result.error());
        return;
    }
    if (const auto excess = count_request()) {
        reject(*excess == input_excess::exchange ? http_problem::body_too_long
                                                 : http_problem::no_room);
        return;
    }
    if (reader_->complete()) {
        serve();
        return;
    }
    if (!reader_->in_message())
        return;
    const auto limit = reader_->head_complete() ? limits_.idle_timeout
                                                : limits_.header_timeout;
    set_deadline(reactor_->awake_now() + limit);
}

void http_session::serve()
{
    serving_ = true;
    // It may be held for long; a body grows by doubling its capacity.
    request_.body.shrink_to_fit();
    count_request();
    head_only_ = request_.head.method == "HEAD";
    const auto number = ++answer_number_;
    auto on_disconnect = hooks_->serve(
        std::exchange(request_, {}),
        std::make_shared<session_writer>(shared_from_this(), number));
    if (serving_ && answer_number_ == number)
        on_disconnect_ = std::move(on_disconnect);
}

void http_session::reject(http_problem problem)
{
    if (hooks_->on_rejected)
        hooks_->on_rejected(problem);
    drop_request();
    // Closes the connection, since the start of the next request is unknown.
    request_keep_alive_ = false;
    closed_for_ = close_reason::rejection;
    serving_ = true;
    http_head head;
    head.status = status_of(problem);
    // The one reason that passes by itself.
    if (problem == http_problem::no_room)
        head.fields.push_back(
            {"Retry-After",
             std::to_string(
                 std::chrono::duration<double>(retry_after_no_room).count())});
    write_whole(std::move(head), {}, http_framing::length);
}

void http_session::handle_disconnect()
{
    ++answer_number_;
    serving_ = false;
    closing_ = true;
    on_drained_ = nullptr;
    drop_request();
    if (const auto on_disconnect = std::exchange(on_disconnect_, nullptr))
        on_disconnect();
}

bool http_session::has_next_input() const
{
    return reader_->pending_bytes() > 0 || connection_->has_unread_bytes();
}

bool http_session::stops() const
{
    return hooks_->stopping && hooks_->stopping();
}

bool http_session::closes_after_answer() const
{
    if (!request_keep_alive_)
        return true;
    const bool may_wait =
        !last_request_until_ || reactor_->awake_now() < *last_request_until_;
    return stops() && !(may_wait && has_next_input());
}

bool http_session::closes_first_answer() const
{
    // A request that has been read already is answered.
    return answer_number_ <= 1 && reader_->pending_bytes() == 0 &&
           hooks_->closes_first_answers && hooks_->closes_first_answers();
}

void http_session::write_whole(http_head head, std::string_view body,
                               http_framing framing)
{
    const bool without_body = has_no_body(head.status);
    write_head(std::move(head), without_body ? http_framing::none : framing,
               body.size());
    if (!without_body && !head_only_)
        connection_->send(body);
    complete_answer();
}

void http_session::write_head(http_head head, http_framing framing,
                              std::size_t body_bytes)
{
    framing_ = framing;
    if (framing == http_framing::connection || closes_first_answer())
        request_keep_alive_ = false;
    announced_close_ = closes_after_answer();
    if (announced_close_)
        head.fields.push_back({"Connection", "close"});
    // The kernel ends the connections of a process that dies in an orderly way.
    if (framing == http_framing::connection)
        connection_->reset_unless_finished();
    connection_->send(response_text(head, framing, body_bytes));
}

void http_session::begin(http_head head, http_framing framing)
{
    write_head(std::move(head), framing, 0);
}

void http_session::write_piece(std::string_view bytes)
{
    if (framing_ == http_framing::chunked)
        connection_->send(chunk_text(bytes));
    else
        connection_->send(bytes);
}

void http_session::finish()
{
    if (framing_ == http_framing::chunked)
        connection_->send(last_chunk_text);
    complete_answer();
}

void http_session::abort()
{
    serving_ = false;
    closing_ = true;
    on_disconnect_ = nullptr;
    on_drained_ = nullptr;
    connection_->abort();
}

void http_session::drained()
{
    if (const auto drained = std::exchange(on_drained_, nullptr))
        drained();
    if (std::exchange(awaits_output_, false))
        next_request();
}

void http_session::complete_answer()
{
    serving_ = false;
    on_disconnect_ = nullptr;
    on_drained_ = nullptr;
    if (announced_close_) {
        close_gracefully(closed_for_);
        return;
    }
    watch_untaken_bytes();
    idle_since_ = reactor_->awake_now();
    set_deadline(idle_since_ +
                 (stops() ? last_request_time : limits_.idle_timeout));
    // Deferred, since the answer may be written from within a reader hook.
    reactor_->post([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->next_request();
    });
}

void http_session::next_request()
{
    if (serving_ || closing_ || !connection_->open())
        return;
    if (!reader_->complete())
        return;
    if (connection_->unsent_bytes() > max_untaken_bytes) {
        awaits_output_ = true;
        connection_->set_low_water(max_untaken_bytes / 2);
        return;
    }
    begin_request();
    const auto read = reader_->next_message();
    if (!reader_->complete() || reader_->pending_bytes() < min_pipelined_bytes)
        connection_->pause_reading(false);
    handle_read_result(read);
}

void http_session::close_gracefully(close_reason reason)
{
    closing_ = true;
    closed_for_ = reason;
    if (reader_->pending_bytes() > 0)
        report_dropped();
    drop_request();
    connection_->end_sending();
    watch_untaken_bytes();
    set_deadline(reactor_->awake_now() + linger_time);
}

void http_session::watch_untaken_bytes()
{
    untaken_bytes_ = connection_->unsent_bytes();
    reader_deadline_ = reactor_->awake_now() + limits_.idle_timeout;
}

void http_session::report_dropped()
{
    // The rest of a rejected request is no request.
    if (closed_for_ == close_reason::rejection ||
        std::exchange(reported_dropped_, true) || !hooks_->on_dropped)
        return;
    hooks_->on_dropped(closed_for_);
}

void http_session::close_if_idle()
{
    if (closing_)
        return;
    const auto kept_until = reactor_->awake_now() + last_request_time;
    last_request_until_ = kept_until;
    // It is closed by its deadline; its last answer may not have announced it.
    const bool closes_soon = deadline_ <= kept_until;
    if (!serving_ && !closes_soon && !reader_->in_message() &&
        !has_next_input())
        close_gracefully(close_reason::stopping);
}

bool http_session::is_idle() const
{
    return !serving_ && !closing_ && !reader_->complete() &&
           !reader_->in_message();
}

void http_session::set_deadline(time_point deadline)
{
    deadline_ = deadline;
    // A timer that fires sooner checks the new deadline and is set again.
    if (timer_at_ && *timer_at_ <= deadline)
        return;
    timer_at_ = deadline;
    reactor_->post_timeout(deadline, [weak = weak_from_this(), deadline] {
        const auto self = weak.lock();
        if (self && self->timer_at_ == deadline)
            self->check_deadline();
    });
}

void http_session::check_deadline()
{
    timer_at_.reset();
    if (!connection_->open())
        return;
    const auto now = reactor_->awake_now();
    if (serving_) {
        set_deadline(std::max(deadline_, now + limits_.idle_timeout));
        return;
    }
    if (deadline_ > now) {
        set_deadline(deadline_);
        return;
    }
    if (closing_) {
        if (caller_still_reads(now))
            set_deadline(now + linger_time);
        else
            close_late();
        return;
    }
    const bool has_arrived = !awaits_output_ && connection_->has_unread_bytes();
    const auto idle_deadline = idle_since_ + hooks_->limits().idle_timeout;
    const bool waits_for_output =
        connection_->unsent_bytes() > 0 && caller_still_reads(now);
    if (has_arrived)
        set_deadline(now + read_delay);
    else if (waits_for_output)
        set_deadline(now + linger_time);
    else if (is_idle() && !stops() && idle_deadline > now)
        set_deadline(idle_deadline);
    else
        close_gracefully(stops() ? close_reason::stopping
                                 : close_reason::idle_timeout);
}

bool http_session::caller_still_reads(time_point now)
{
    const auto unsent = connection_->unsent_bytes();
    const bool has_read = unsent < std::exchange(untaken_bytes_, unsent);
    if (has_read)
        reader_deadline_ = now + limits_.idle_timeout;
    const auto& input = *reactor_->input();
    const bool has_room = unsent == 0 || input.held() <= input.limit();
    return has_room && (has_read || (unsent > 0 && now < reader_deadline_));
}

void http_session::close_late()
{
    if (!has_untaken_answer()) {
        connection_->close();
        return;
    }
    if (hooks_->on_untaken)
        hooks_->on_untaken(connection_->unsent_bytes());
    connection_->abort();
}

} // namespace cyclamenrun

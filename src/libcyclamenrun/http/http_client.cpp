#include "http_client.hpp"

#include "answer_integrity.hpp"
#include "http_text.hpp"

#include <utility>

namespace cyclamenrun
{

namespace
{

/** Bounds what a peer may send before its answer. */
constexpr unsigned max_interim_heads = 8;

} // namespace

std::string_view name_of(call_failure failure)
{
    switch (failure) {
    case call_failure::unreachable:
        return "unreachable";
    case call_failure::timed_out:
        return "timed_out";
    case call_failure::broken:
        return "broken";
    case call_failure::malformed:
        return "malformed";
    case call_failure::oversized:
        return "oversized";
    }
    return "broken";
}

http_client::http_client(std::shared_ptr<link_reactor> reactor,
                         ip_endpoint peer, call_limits limits)
    : reactor_(std::move(reactor)), peer_(std::move(peer)), limits_(limits),
      held_(std::make_shared<input_account>(reactor_->input(), limits.need))
{
}

http_client::~http_client()
{
    close();
}

void http_client::close()
{
    if (connection_)
        connection_->close();
    connection_.reset();
}

void http_client::call(http_head head, const std::string& body,
                       time_point deadline, answer_handler on_answer)
{
    head.fields.insert(head.fields.begin(), {"Host", to_string(peer_)});
    const auto framing =
        head.method == "GET" ? http_framing::none : http_framing::length;
    request_ = request_text(head, framing, body.size()) + body;
    reply_ = {};
    interim_heads_ = 0;
    peer_keep_alive_ = true;
    on_answer_ = std::move(on_answer);
    self_ = shared_from_this();
    const auto number = ++call_number_;
    reactor_->post_timeout(
        reactor_->awake_deadline(deadline), [weak = weak_from_this(), number] {
            const auto self = weak.lock();
            if (self && self->call_number_ == number && self->busy())
                self->expire();
        });
    send_call();
}

void http_client::expire()
{
    const bool was_sent = !connection_ || connection_->established();
    finish(tl::unexpected(was_sent ? call_failure::timed_out
                                   : call_failure::unreachable));
}

void http_client::send_call()
{
    if (!connection_ || !connection_->open())
        open_connection();
    // A failure is posted, so that call() returns before the handler is called.
    if (connection_)
        connection_->send(request_);
    else
        reactor_->post([weak = weak_from_this(), number = call_number_] {
            const auto self = weak.lock();
            if (self && self->call_number_ == number && self->busy())
                self->finish(tl::unexpected(call_failure::unreachable));
        });
}

void http_client::open_connection()
{
    http_reader::hooks on_read;
    on_read.head = [this](http_head&& head) {
        reply_.status = head.status;
        framing_ = head.body_framing();
        reply_.fields = std::move(head.fields);
        peer_keep_alive_ = head.keep_alive;
    };
    on_read.body = [this](std::string_view bytes) { reply_.body += bytes; };
    reader_ = std::make_unique<http_reader>(
        http_message_kind::response,
        http_limits{std::size_t(16) << 10, limits_.reply_bytes}, on_read);
    tcp_connection::hooks on;
    on.received = [weak = weak_from_this()](std::string_view bytes) {
        if (const auto self = weak.lock())
            self->read(bytes);
    };
    on.ended = [weak = weak_from_this()](connection_end reason) {
        if (const auto self = weak.lock())
            self->connection_ended(reason);
    };
    connection_ = tcp_connection::connect(reactor_, peer_, {}, std::move(on));
}

void http_client::read(std::string_view bytes)
{
    if (!busy()) {
        // Unsolicited bytes: they could be taken for the next call's answer.
        close();
        return;
    }
    const auto read = skip_interim_heads(reader_->feed(bytes));
    if (!read || !count_reply()) {
        const bool malformed = !read && !is_oversized(read.error());
        finish(tl::unexpected(malformed ? call_failure::malformed
                                        : call_failure::oversized));
        return;
    }
    if (!reader_->complete())
        return;
    if (reader_->has_surplus() || !peer_keep_alive_)
        close();
    else
        (void)reader_->next_message();
    finish(std::move(reply_));
}

tl::expected<void, http_problem>
http_client::skip_interim_heads(tl::expected<void, http_problem> read)
{
    while (read && reader_->complete() && is_interim(reply_.status)) {
        if (++interim_heads_ > max_interim_heads)
            return tl::unexpected(http_problem::malformed);
        reply_ = {};
        read = reader_->next_message();
    }
    return read;
}

void http_client::connection_ended(connection_end reason)
{
    connection_.reset();
    if (!busy())
        return;
    if (reason == connection_end::finished && reader_->head_complete() &&
        !is_interim(reply_.status) &&
        integrity_of({framing_, receipt_end::closed}) !=
            answer_integrity::broken_off) {
        finish(std::move(reply_));
        return;
    }
    finish(tl::unexpected(never_established(reason) ? call_failure::unreachable
                                                    : call_failure::broken));
}

bool http_client::count_reply()
{
    return !held_.update(reader_->pending_bytes() + reply_.body.capacity());
}

void http_client::finish(call_outcome outcome)
{
    if (!outcome) {
        close();
        // An assignment would keep the body's buffer.
        std::string().swap(reply_.body);
    }
    held_.update(0);
    const auto self = std::exchange(self_, nullptr);
    const auto on_answer = std::exchange(on_answer_, nullptr);
    on_answer(std::move(outcome));
}

} // namespace cyclamenrun

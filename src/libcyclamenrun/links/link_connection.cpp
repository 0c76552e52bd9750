#include "link_connection.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/SocketImpl.h>
#include <array>
#include <nghttp2/nghttp2.h>
#include <sys/socket.h>
#include <utility>

namespace cyclamenrun
{

namespace
{

/**
 * Rounds of fill and send per loop iteration; bounded so that one connection
 * can't starve the others.
 */
constexpr int max_sends_per_iteration = 4;

int descriptor_of(const Poco::Net::Socket& socket)
{
    return static_cast<int>(socket.impl()->sockfd());
}

} // namespace

link_connection::link_connection(std::shared_ptr<link_reactor> reactor,
                                 const link_limits& limits,
                                 const Poco::Net::StreamSocket& socket)
    : reactor_(std::move(reactor)), limits_(limits), socket_(socket),
      keepalive_(limits, reactor_->awake_now())
{
}

link_connection::~link_connection()
{
    nghttp2_session_del(session_);
}

void link_connection::begin(nghttp2_session* session, bool connecting)
{
    session_ = session;
    connecting_ = connecting;
    const std::array<nghttp2_settings_entry, 5> settings{{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, limits_.max_streams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, limits_.stream_window},
        {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, max_header_bytes},
        {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
        {NGHTTP2_SETTINGS_NO_RFC7540_PRIORITIES, 1},
    }};
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(),
                            settings.size());
    const auto window = static_cast<std::int32_t>(limits_.connection_window);
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                          window);
    watch_ =
        reactor_->watch(descriptor_of(socket_), shared_from_this(), connecting);
    schedule_check(reactor_->awake_now() + limits_.handshake_timeout);
    flush_later();
}

void link_connection::fail(link_failure failure)
{
    if (!failure_)
        failure_ = failure;
    flush_later();
}

void link_connection::flush_later()
{
    if (flush_pending_ || closed_)
        return;
    flush_pending_ = true;
    reactor_->flush_later(shared_from_this());
}

void link_connection::ready(bool readable, bool writable)
{
    if (connecting_ && writable)
        finish_connect();
    if (!connecting_ && readable && !failure_)
        receive();
    flush_later();
}

void link_connection::finish_connect()
{
    if (socket_.impl()->socketError() != 0) {
        fail(link_failure::connect_failed);
        return;
    }
    connecting_ = false;
    reactor_->set_interest(watch_, true, false);
    socket_.setNoDelay(true);
    connected();
}

void link_connection::receive()
{
    const auto room = reactor_->read_buffer();
    int size = 0;
    try {
        size = socket_.receiveBytes(room.data(), static_cast<int>(room.size()));
    } catch (const Poco::Exception&) {
        fail(link_failure::connection_lost);
        return;
    }
    // Poco returns a negative size if the socket has no data.
    if (size < 0)
        return;
    if (size == 0) {
        fail(link_failure::connection_lost);
        return;
    }
    keepalive_.received(reactor_->awake_now());
    const auto* bytes = reinterpret_cast<const std::uint8_t*>(room.data());
    if (nghttp2_session_mem_recv(session_, bytes, size) < 0)
        fail(link_failure::protocol_error);
}

bool link_connection::fill_output()
{
    while (output_.unsent().size() < limits_.send_buffer_bytes) {
        const std::uint8_t* data = nullptr;
        const auto size = nghttp2_session_mem_send(session_, &data);
        if (size < 0) {
            fail(link_failure::protocol_error);
            return false;
        }
        if (size == 0)
            return false;
        output_.append({reinterpret_cast<const char*>(data),
                        static_cast<std::size_t>(size)});
    }
    return true;
}

bool link_connection::send_output()
{
    const std::string_view unsent = output_.unsent();
    if (unsent.empty())
        return true;
    int size = 0;
    try {
        size = socket_.sendBytes(unsent.data(), static_cast<int>(unsent.size()),
                                 MSG_NOSIGNAL);
    } catch (const Poco::Exception&) {
        fail(link_failure::connection_lost);
        return false;
    }
    if (size > 0)
        output_.record_sent(size);
    return output_.unsent().empty();
}

void link_connection::flush()
{
    flush_pending_ = false;
    if (closed_)
        return;
    if (connecting_ && !failure_)
        return;
    bool more = true;
    bool sent = true;
    for (int i = 0; i < max_sends_per_iteration && more && sent && !failure_;
         ++i) {
        more = fill_output();
        sent = send_output();
    }
    if (failure_) {
        close_now(*failure_);
        return;
    }
    reactor_->set_interest(watch_, true, more || !sent);
    const bool finished = nghttp2_session_want_read(session_) == 0 &&
                          nghttp2_session_want_write(session_) == 0;
    if (finished && output_.unsent().empty())
        close_now(link_failure::connection_lost);
}

void link_connection::loop_stopping()
{
    close_now(link_failure::connection_lost);
}

void link_connection::close_now(link_failure failure)
{
    if (closed_)
        return;
    closed_ = true;
    const auto self = shared_from_this();
    reactor_->unwatch(watch_);
    socket_.close();
    closed(failure);
}

void link_connection::schedule_check(time_point when)
{
    if (closed_ || (timer_ && *timer_ <= when))
        return;
    timer_ = when;
    reactor_->post_timeout(when, [weak = weak_from_this(), when] {
        if (const auto self = weak.lock())
            self->timer_fired(when);
    });
}

void link_connection::check_keepalive()
{
    schedule_check(keepalive_.next_check(busy()));
}

void link_connection::timer_fired(time_point when)
{
    // Ignores a timer that was replaced by an earlier one.
    if (closed_ || timer_ != when)
        return;
    timer_.reset();
    const time_point now = reactor_->awake_now();
    check_deadlines(now);
    if (connecting_ || failure_)
        return;
    const keepalive_step step = keepalive_.step(now, busy());
    if (step == keepalive_step::ping) {
        nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
        flush_later();
    }
    // If this process was paused past the deadline, the peer's answer may be
    // unread in the socket, and the peer is alive.
    if (step == keepalive_step::disconnect && socket_.available() == 0)
        fail(link_failure::timed_out);
    check_keepalive();
}

void link_connection::return_stream_credit(std::int32_t stream,
                                           std::size_t bytes)
{
    if (closed_ || bytes == 0)
        return;
    nghttp2_session_consume_stream(session_, stream, bytes);
    flush_later();
}

void link_connection::reset_stream(std::int32_t stream,
                                   std::uint32_t error_code)
{
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream, error_code);
    flush_later();
}

} // namespace cyclamenrun

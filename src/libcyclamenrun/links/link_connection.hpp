#ifndef CYCLAMENRUN_LINK_CONNECTION_HPP
#define CYCLAMENRUN_LINK_CONNECTION_HPP

#include "link_failure.hpp"
#include "link_keepalive.hpp"
#include "link_limits.hpp"
#include "link_output.hpp"
#include "link_reactor.hpp"
#include "socket_event_handler.hpp"

#include <Poco/Net/StreamSocket.h>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

struct nghttp2_session;

namespace cyclamenrun
{

/**
 * Bound on the header bytes of one stream. The project's own requests need a
 * tenth of it.
 */
constexpr std::uint32_t max_header_bytes = 2048;

/** Result of reading a stream's data to send. */
struct link_chunk {
    /** Bytes read; 0 without `end` if no data is available now. */
    std::size_t size = 0;
    /** The stream has no data after these bytes. */
    bool end = false;
    /** The stream does not exist or has failed and must be reset. */
    bool broken = false;
};

/**
 * Base class of the HTTP/2 connections between two cyclamenrun processes:
 * the socket, the nghttp2 session and the keepalive. Used on its loop's
 * thread only; the loop keeps it alive until it closes.
 */
class link_connection : public socket_event_handler,
                        public std::enable_shared_from_this<link_connection>
{
public:
    ~link_connection() override;

    void ready(bool readable, bool writable) final;
    void flush() final;
    void loop_stopping() final;

    /**
     * Closes the connection at the end of this loop iteration. Only the
     * reason of the first call is kept.
     */
    void fail(link_failure failure);
    /** Whether received data is to be ignored. */
    bool closing() const { return closed_ || failure_; }

    // Called by nghttp2 callbacks; must not close the connection.

    virtual void stream_opened(std::int32_t stream) = 0;
    virtual void header_received(std::int32_t stream, std::string_view name,
                                 std::string_view value) = 0;
    virtual void data_received(std::int32_t stream, std::string_view data) = 0;
    /** The peer has ended its direction of the stream. */
    virtual void stream_half_closed(std::int32_t stream) = 0;
    virtual void stream_closed(std::int32_t stream,
                               std::uint32_t error_code) = 0;
    /** Called before the headers of a request are appended to the output. */
    virtual void request_sent(std::int32_t stream) = 0;
    virtual void goaway_received() = 0;
    /** Copies the next bytes to send on the stream into `room`. */
    virtual link_chunk read_data(std::int32_t stream, std::span<char> room) = 0;

protected:
    link_connection(std::shared_ptr<link_reactor> reactor,
                    const link_limits& limits,
                    const Poco::Net::StreamSocket& socket);

    /**
     * Takes ownership of `session`, sends the first SETTINGS frame and starts
     * the I/O. With `connecting`, the socket is not connected yet.
     */
    void begin(nghttp2_session* session, bool connecting);

    /** Called when a socket that was `connecting` is connected. */
    virtual void connected() = 0;
    /** Called once, after the socket was closed. */
    virtual void closed(link_failure failure) = 0;
    /**
     * Whether the keepalive uses the short interval: there are open streams,
     * other than heartbeats.
     */
    virtual bool busy() const = 0;
    /** Checks the deadlines of the derived class, in awake time. */
    virtual void check_deadlines(time_point now) = 0;

    nghttp2_session* session() const { return session_; }
    const link_limits& limits() const { return limits_; }
    link_reactor& reactor() const { return *reactor_; }
    const std::shared_ptr<link_reactor>& shared_reactor() const
    {
        return reactor_;
    }
    const link_output& output() const { return output_; }

    /** Sends the session's output at the end of this loop iteration. */
    void flush_later();
    /** Schedules a check of the deadlines at awake time `when` or earlier. */
    void schedule_check(time_point when);
    /** Schedules the next keepalive check; to be called when busy() changes. */
    void check_keepalive();
    /**
     * Returns used flow control credit of a stream to the peer. `bytes` must
     * not exceed the credit in use.
     */
    void return_stream_credit(std::int32_t stream, std::size_t bytes);
    void reset_stream(std::int32_t stream, std::uint32_t error_code);

private:
    void finish_connect();
    void receive();
    bool fill_output();
    bool send_output();
    void timer_fired(time_point when);
    void close_now(link_failure failure);

    std::shared_ptr<link_reactor> reactor_;
    link_limits limits_;
    Poco::Net::StreamSocket socket_;
    nghttp2_session* session_ = nullptr;
    link_output output_;
    link_keepalive keepalive_;
    link_reactor::watch_id watch_ = 0;
    std::optional<time_point> timer_; ///< time of the next check
    std::optional<link_failure> failure_;
    bool connecting_ = false;
    bool flush_pending_ = false;
    bool closed_ = false;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LINK_CONNECTION_HPP

#ifndef CYCLAMENRUN_HTTP_SESSION_HPP
#define CYCLAMENRUN_HTTP_SESSION_HPP

#include "answer_writer.hpp"
#include "close_reason.hpp"
#include "http_reader.hpp"
#include "tcp_connection.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cyclamenrun
{

/** A complete request from a caller. */
struct caller_request {
    http_head head;
    std::string body;
    /** Time of its first byte; if pipelined, the time its parsing started. */
    time_point arrived;
    /** Its bytes, in the account of its connection. */
    held_bytes held = {};
};

/** Limits on a caller's requests, fetched again when a request begins. */
struct session_limits {
    http_limits message;
    /** Time without data from the caller while a head is incomplete. */
    milliseconds header_timeout{3000};
    /** Time without data in a body or between requests. */
    milliseconds idle_timeout{15000};
};

/**
 * Callbacks that serve requests. `serve` answers through the writer, at once or
 * later, and returns a function that the session calls if the caller
 * disconnects before its answer is complete.
 */
struct session_hooks {
    using disconnect_handler = std::function<void()>;
    std::function<disconnect_handler(caller_request,
                                     std::shared_ptr<answer_writer>)>
        serve;
    std::function<session_limits()> limits;
    /**
     * While it returns true, connections close after the first answer behind
     * which no request has arrived.
     */
    std::function<bool()> stopping;
    /** While it returns true, connections close after their first answer. */
    std::function<bool()> closes_first_answers;
    /** Called for each request that is rejected. */
    std::function<void(http_problem)> on_rejected;
    /**
     * Called when a connection is closed because its caller has not taken the
     * last bytes of its answers in time, with their number.
     */
    std::function<void(std::size_t)> on_untaken;
    /**
     * Called once for a connection that is closed while its caller sends: the
     * bytes are not read as a request.
     */
    std::function<void(close_reason)> on_dropped;
};

/**
 * Serves the requests of one caller's connection in order. Pipelined requests
 * wait until the current one is answered. The connection is read while a
 * request is served, so that the session detects when the caller disconnects.
 */
class http_session : public std::enable_shared_from_this<http_session>
{
public:
    http_session(std::shared_ptr<link_reactor> reactor,
                 std::shared_ptr<tcp_connection> connection,
                 std::shared_ptr<const session_hooks> hooks);
    http_session(const http_session&) = delete;
    http_session& operator=(const http_session&) = delete;

    void start();
    /**
     * Closes the connection if no request is in progress, none has arrived, and
     * its caller has not been answered lately without notice of the stop.
     */
    void close_if_idle();
    bool open() const { return connection_->open(); }
    /** True while the caller sends a request. */
    bool is_receiving() const
    {
        return open() && !serving_ && !closing_ && reader_->in_message();
    }
    /** True while a request is in progress or may follow. */
    bool is_kept() const { return open() && !closing_; }
    /** True if an answer has ended whose last bytes the caller lacks. */
    bool has_untaken_answer() const
    {
        return open() && !serving_ && connection_->unsent_bytes() > 0;
    }

private:
    friend class session_writer;

    void read(std::string_view bytes);
    /** Fetches the limits on the request that begins. */
    void begin_request();
    void handle_head(http_head&& head);
    void handle_read_result(const tl::expected<void, http_problem>& result);
    void serve();
    void reject(http_problem problem);
    /** Buffers pipelined bytes until the answer has ended. */
    void buffer(std::string_view bytes);
    /** Counts what is held of the request. */
    std::optional<input_excess> count_request();
    /** Releases what is held of a request that is not served. */
    void drop_request();
    void handle_disconnect();

    // Called by session_writer and, for drained(), by the connection.
    void write_whole(http_head head, std::string_view body,
                     http_framing framing);
    void begin(http_head head, http_framing framing);
    void write_piece(std::string_view bytes);
    void finish();
    void abort();
    void drained();

    void write_head(http_head head, http_framing framing,
                    std::size_t body_bytes);
    void complete_answer();
    void next_request();
    void close_gracefully(close_reason reason);
    /** From now on caller_still_reads() tells whether the caller does. */
    void watch_untaken_bytes();
    /** Reports that bytes of a request are not read. */
    void report_dropped();
    /**
     * Whether a connection is kept, since its caller has taken a part of its
     * answer lately. Not if the process holds more than it may.
     */
    bool caller_still_reads(time_point now);
    /** Closes a closing connection, whether its caller has read all or not. */
    void close_late();
    /** Whether bytes have arrived behind the current request. */
    bool has_next_input() const;
    bool stops() const;
    bool closes_after_answer() const;
    bool closes_first_answer() const;
    /** Whether no request is in progress or waits. */
    bool is_idle() const;
    /** Sets when the caller has timed out, in awake time. */
    void set_deadline(time_point deadline);
    void check_deadline();

    std::shared_ptr<link_reactor> reactor_;
    std::shared_ptr<tcp_connection> connection_;
    std::shared_ptr<const session_hooks> hooks_;
    session_limits limits_;
    /** Of what this connection and the request on it hold. */
    std::shared_ptr<input_account> account_;
    held_bytes pending_held_; ///< by the reader
    std::unique_ptr<http_reader> reader_;
    caller_request request_;
    bool request_keep_alive_ = true;
    bool announced_close_ = false; ///< by the current answer
    bool serving_ = false;
    bool closing_ = false;
    close_reason closed_for_ = close_reason::last_answer;
    bool reported_dropped_ = false;
    bool awaits_output_ = false;    ///< the next request waits for unsent bytes
    std::size_t lingered_ = 0;      ///< bytes read since closing began
    std::size_t untaken_bytes_ = 0; ///< of the answer, at the last check
    /** Until then a caller that takes nothing may go on reading. */
    time_point reader_deadline_;
    bool head_only_ = false; ///< the current request is a HEAD
    http_framing framing_ = http_framing::none; ///< of the current answer
    /** Of the current answer; writers of other answers have no effect. */
    std::uint64_t answer_number_ = 0;
    session_hooks::disconnect_handler on_disconnect_;
    std::function<void()> on_drained_;
    /** In a stop: until then arrived requests delay the announced close. */
    std::optional<time_point> last_request_until_;
    time_point idle_since_; ///< awake time of the last answer, or of the start
    time_point deadline_;
    /** Time of the pending timer; timers set for other times are ignored. */
    std::optional<time_point> timer_at_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_HTTP_SESSION_HPP

#ifndef CYCLAMENRUN_UPSTREAM_ATTEMPT_HPP
#define CYCLAMENRUN_UPSTREAM_ATTEMPT_HPP

#include "answer_integrity.hpp"
#include "gateway_dialect.hpp"
#include "http_reader.hpp"
#include "upstream_connections.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/** How an attempt ended without a complete response. */
enum class attempt_loss : std::uint8_t {
    not_sent,  ///< No connection was established: no byte was sent.
    broken,    ///< The connection ended or returned an invalid response.
    oversized, ///< The response exceeds a bound, or is without content.
    no_room,   ///< All messages together exceed what the process may hold.
};

std::string_view name_of(attempt_loss loss);

/**
 * One request on one connection to one upstream, and the response to it. A late
 * response to another request on the connection is recognized by its request
 * id and skipped.
 *
 * Keeps itself alive until the response has ended, the attempt is lost or
 * cancelled; no hook is called after that.
 */
class upstream_attempt : public std::enable_shared_from_this<upstream_attempt>
{
public:
    struct hooks {
        std::function<void(http_head&&, const response_facts&)> head;
        std::function<void(std::string_view)> body;
        /** The response has ended; it may be incomplete. */
        std::function<void(receipt_end)> ended;
        std::function<void(attempt_loss)> lost;
    };

    struct request {
        upstream_record upstream;
        std::string id;               ///< request id, to match the response
        std::string text;             ///< serialized HTTP request
        bool new_connection = false;  ///< do not reuse an idle connection
        connection_timeouts timeouts; ///< used for a new connection
        bool has_no_response_body = false; ///< the request is a HEAD request
        time_point connect_deadline;
        /** Of the exchange; null: what is held is not counted. */
        std::shared_ptr<input_account> account = {};
    };

    upstream_attempt(std::shared_ptr<link_reactor> reactor,
                     upstream_connections& connections,
                     const gateway_dialect& dialect, request what, hooks on);
    upstream_attempt(const upstream_attempt&) = delete;
    upstream_attempt& operator=(const upstream_attempt&) = delete;

    void start();
    /**
     * Loses the attempt if the upstream's host has not acknowledged the whole
     * request, which then does not arrive later.
     */
    void abort_if_unreceived();
    /** Closes the connection, so that the upstream stops its work. */
    void cancel();
    void pause_reading(bool paused);
    /** Ends the attempt because of what its response contains. */
    void abandon(attempt_loss loss) { lose(loss); }

    const upstream_record& upstream() const { return request_.upstream; }
    bool over() const { return over_; }
    /** A response to this request has begun. */
    bool responding() const { return responding_; }

private:
    void close_connection();
    void arm_connect_deadline();
    void read(std::string_view bytes);
    void handle_head(http_head&& head);
    void handle_body(std::string_view bytes);
    void connection_ended(connection_end how);
    /** Ends the attempt if more was read or is held than allowed. */
    void check_bounds();
    void end_response(receipt_end how);
    void lose(attempt_loss loss);
    void keep_or_close();

    std::shared_ptr<link_reactor> reactor_;
    upstream_connections& connections_;
    const gateway_dialect& dialect_;
    request request_;
    std::shared_ptr<const hooks> on_;
    std::shared_ptr<tcp_connection> connection_;
    http_reader reader_;
    held_bytes pending_held_; ///< by the reader
    /** Bytes read since the last part of the response to this request. */
    std::size_t empty_bytes_ = 0;
    response_facts facts_;
    bool skipping_ = false; ///< the current message answers another request
    bool responding_ = false;
    bool peer_keeps_open_ = true;
    bool over_ = false;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_UPSTREAM_ATTEMPT_HPP

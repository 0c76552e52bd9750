#ifndef CYCLAMENRUN_CLIENT_STREAM_HPP
#define CYCLAMENRUN_CLIENT_STREAM_HPP

#include "link_connection.hpp"
#include "link_failure.hpp"
#include "link_frame_decoder.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>

namespace cyclamenrun
{

class link_client_connection;

/** How a stream ended. */
struct stream_end {
    /** The peer ended its answer after a complete frame. */
    bool clean = false;
    /** Valid only if `clean` is false. */
    link_failure failure = link_failure::connection_lost;
    /**
     * False only if no byte of the request was written to the socket, or if
     * the peer reported that it did not process the request. The request has
     * then not run and never will.
     */
    bool request_may_have_run = false;
};

/** Callbacks of a stream, called on the loop's thread with no lock held. */
struct client_handlers {
    std::function<void(std::string frame)> on_frame;
    /** Called exactly once, after the last on_frame. */
    std::function<void(stream_end)> on_end;
};

/** A request to a peer. Thread-safe. */
class client_stream : public std::enable_shared_from_this<client_stream>
{
public:
    /**
     * Returns flow control credit, so that the peer may send `bytes` more.
     * The caller passes the size of each frame once it has processed it; the
     * peer stops sending while its frames are not consumed.
     */
    void consumed(std::size_t bytes);
    /** Cancels the request. Some frames may still arrive before on_end. */
    void cancel();

private:
    friend class link_client;
    friend class link_client_connection;

    client_stream(std::shared_ptr<link_reactor> reactor, std::string path,
                  std::string request, client_handlers handlers,
                  const link_limits& limits);

    void end(const stream_end& how);
    void return_consumed_credit();
    bool handle_data(std::string_view data);
    void account_partial_frame(std::size_t bytes);
    void deliver(std::string frame);
    void return_credit(std::size_t bytes);
    link_chunk read_request(std::span<char> room);

    const std::shared_ptr<link_reactor> reactor_;
    /** Bytes passed to consumed() whose credit is not returned yet. */
    std::atomic<std::size_t> consumed_ = 0;

    // The members below are used on the loop's thread only.
    std::weak_ptr<link_client_connection> connection_;
    std::int32_t id_ = 0;
    std::string path_;
    std::string request_;
    std::size_t request_offset_ = 0;
    client_handlers handlers_;
    link_frame_decoder decoder_;
    /** Credit for larger frames is returned before they are complete. */
    std::size_t large_frame_bytes_;
    /** Bytes of the partial frame whose window credit is not returned yet. */
    std::size_t unreturned_bytes_ = 0;
    /** Bytes of the partial frame whose window credit is already returned. */
    std::size_t returned_early_bytes_ = 0;
    /**
     * Bytes of delivered frames whose credit was returned early; consumed()
     * subtracts them from the credit that it returns.
     */
    std::size_t early_credit_bytes_ = 0;
    /** Position in the connection's output at which the request begins. */
    std::optional<std::uint64_t> request_position_;
    bool answer_ended_ = false;
    bool ended_ = false;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CLIENT_STREAM_HPP

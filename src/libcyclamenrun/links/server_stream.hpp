#ifndef CYCLAMENRUN_SERVER_STREAM_HPP
#define CYCLAMENRUN_SERVER_STREAM_HPP

#include "link_connection.hpp"
#include "link_frame_decoder.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace cyclamenrun
{

class link_server_connection;

/**
 * Frames of an answer that are ready. With no frames and `end` false, the
 * stream pulls again after wake().
 */
struct pulled_frames {
    std::vector<std::string> frames;
    bool end = false;
};

/**
 * Returns the next frames of an answer, about `max_bytes` in total. Called on
 * the loop's thread when the peer can receive, so that a slow peer applies
 * back pressure to the source of the answer. Must not block.
 */
using pull_function = std::function<pulled_frames(std::size_t max_bytes)>;

/**
 * A request from a peer and the answer to it. Thread-safe; the callbacks are
 * called on the loop's thread with no lock held.
 */
class server_stream : public std::enable_shared_from_this<server_stream>
{
public:
    const std::string& path() const { return path_; }
    /** The single frame of the request. */
    const std::string& request() const { return request_; }
    /**
     * Moves the request out, so that it doesn't occupy memory during a long
     * answer. Only to be called in the request handler, in place of request().
     */
    std::string take_request() { return std::move(request_); }
    /** Address of the peer, for log events. */
    const std::string& peer() const { return *peer_; }

    /** Answers with the frames of `pull`; later calls are ignored. */
    void respond(pull_function pull);
    /** Answers with a single frame. */
    void respond_once(std::string frame);
    /** Pulls again, as more data is available. */
    void wake();
    /**
     * Sets a callback that is called once when the stream has ended: the
     * answer is complete, the peer reset the stream, or the connection closed.
     */
    void on_closed(const std::function<void()>& callback);

private:
    friend class link_server_connection;

    server_stream(std::shared_ptr<link_reactor> reactor,
                  std::shared_ptr<const std::string> peer,
                  std::weak_ptr<link_server_connection> connection,
                  std::int32_t id, std::size_t max_request_bytes);

    void start(pull_function pull);
    void handle_wake();
    bool handle_data(std::string_view data);
    bool request_complete() const;
    bool refill(std::size_t room, std::size_t max_frame_bytes);
    link_chunk read(std::span<char> room, std::size_t max_frame_bytes);
    void close();

    const std::shared_ptr<link_reactor> reactor_;
    const std::shared_ptr<const std::string> peer_;
    std::atomic<bool> wake_posted_ = false;

    // The members below are used on the loop's thread only, except path_ and
    // request_, which don't change after the handler has been called.
    const std::weak_ptr<link_server_connection> connection_;
    const std::int32_t id_;
    std::string path_;
    std::string request_;
    std::size_t header_bytes_ = 0; ///< received so far, which is limited
    link_frame_decoder decoder_;
    bool has_request_ = false;
    pull_function pull_;
    std::string pending_;            ///< pulled frames, encoded
    std::size_t pending_offset_ = 0; ///< of the first byte not read yet
    bool at_end_ = false;            ///< `pending_` holds the last frames
    bool closed_ = false;
    std::function<void()> on_closed_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SERVER_STREAM_HPP

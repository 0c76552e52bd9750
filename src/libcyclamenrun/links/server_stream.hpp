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

/** What an answer has ready. Empty and not at its end: wait for wake(). */
struct pulled {
    std::vector<std::string> frames;
    bool end = false;
};

/**
 * Gives the next frames of an answer, about `max_bytes` of them. Called on the
 * loop's thread when the peer has room, so that a slow peer holds its answer
 * back at the source. Must not block.
 */
using pull_function = std::function<pulled(std::size_t max_bytes)>;

/**
 * A request that a peer has sent, and its answer. Any thread may call it; the
 * callbacks come on the loop's thread with no lock held.
 */
class server_stream : public std::enable_shared_from_this<server_stream>
{
public:
    const std::string& path() const { return path_; }
    /** The single frame of the request. */
    const std::string& request() const { return request_; }
    /**
     * Takes the request out, so that a long answer doesn't hold its memory.
     * Only from within the request handler, in place of request().
     */
    std::string take_request() { return std::move(request_); }
    /** Address of the peer, for logs. */
    const std::string& peer() const { return *peer_; }

    /** Answers with what `pull` gives; only the first answer counts. */
    void respond(pull_function pull);
    /** Answers with one frame. */
    void respond_once(std::string frame);
    /** Data has come: pull again. */
    void wake();
    /**
     * Sets what is called once when the stream is over: answered to the end,
     * reset by the peer or cut with its connection.
     */
    void on_closed(const std::function<void()>& callback);

private:
    friend class link_server_connection;

    server_stream(std::shared_ptr<link_reactor> reactor,
                  std::shared_ptr<const std::string> peer,
                  std::weak_ptr<link_server_connection> connection,
                  std::int32_t id, std::size_t max_request_bytes);

    void start(pull_function pull);
    void woken();
    bool take_data(std::string_view data);
    bool request_complete() const;
    bool refill(std::size_t room, std::size_t max_frame_bytes);
    link_chunk read(std::span<char> room, std::size_t max_frame_bytes);
    void close();

    const std::shared_ptr<link_reactor> reactor_;
    const std::shared_ptr<const std::string> peer_;
    std::atomic<bool> wake_posted_ = false;

    // All below is for the loop's thread only; path and request don't change
    // any more once the handler has been called.
    const std::weak_ptr<link_server_connection> connection_;
    const std::int32_t id_;
    std::string path_;
    std::string request_;
    std::size_t header_bytes_ = 0;
    link_frame_decoder decoder_;
    bool has_request_ = false;
    pull_function pull_;
    std::string pending_;
    std::size_t pending_offset_ = 0;
    bool at_end_ = false;
    bool closed_ = false;
    std::function<void()> on_closed_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SERVER_STREAM_HPP

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
    /** The peer ended its answer after a whole frame. */
    bool clean = false;
    /** Only if not clean. */
    link_failure failure = link_failure::connection_lost;
    /**
     * False only if no byte of the request was handed to the socket, or if
     * the peer has said that it did not look at it. Then it surely has not
     * run and never will.
     */
    bool request_may_have_left = false;
};

/** Called on the loop's thread with no lock held. */
struct client_handlers {
    std::function<void(std::string frame)> on_frame;
    /** Exactly once, after the last on_frame. */
    std::function<void(stream_end)> on_end;
};

/** A request to a peer; any thread may call it. */
class client_stream : public std::enable_shared_from_this<client_stream>
{
public:
    /**
     * Lets the peer send as much again. The sum of `bytes` is to be that of
     * the frames received; a peer whose frames stay unconsumed is held.
     */
    void consumed(std::size_t bytes);
    /** Gives the answer up. A few frames may still come before the end. */
    void cancel();

private:
    friend class link_client;
    friend class link_client_connection;

    client_stream(std::shared_ptr<link_reactor> reactor, std::string path,
                  std::string request, client_handlers handlers,
                  const link_limits& limits);

    void end(const stream_end& how);
    void give_back_consumed();
    bool take_data(std::string_view data);
    void hold(std::size_t bytes);
    void deliver(std::string frame);
    void give_back(std::size_t bytes);
    link_chunk read_request(std::span<char> room);

    const std::shared_ptr<link_reactor> reactor_;
    std::atomic<std::size_t> consumed_ = 0;

    // All below is for the loop's thread only.
    std::weak_ptr<link_client_connection> connection_;
    std::int32_t id_ = 0;
    std::string path_;
    std::string request_;
    std::size_t request_offset_ = 0;
    client_handlers handlers_;
    link_frame_decoder decoder_;
    std::size_t large_frame_;
    /** Of the frame that has begun: window not given back yet. */
    std::size_t held_ = 0;
    /** Of the frame that has begun: window given back before its end. */
    std::size_t early_ = 0;
    /** Given back early for frames whose consumed() is still to come. */
    std::size_t debt_ = 0;
    /** Where the request began in the connection's output. */
    std::optional<std::uint64_t> sent_at_;
    bool answer_ended_ = false;
    bool ended_ = false;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CLIENT_STREAM_HPP

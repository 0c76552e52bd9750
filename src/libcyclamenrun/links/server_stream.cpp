#include "server_stream.hpp"

#include "link_server_connection.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

server_stream::server_stream(std::shared_ptr<link_reactor> reactor,
                             std::shared_ptr<const std::string> peer,
                             std::weak_ptr<link_server_connection> connection,
                             std::int32_t id, std::size_t max_request_bytes)
    : reactor_(std::move(reactor)), peer_(std::move(peer)),
      connection_(std::move(connection)), id_(id), decoder_(max_request_bytes)
{
}

void server_stream::respond(pull_function pull)
{
    reactor_->post(
        [self = shared_from_this(), pull = std::move(pull)]() mutable {
            self->start(std::move(pull));
        });
}

void server_stream::respond_once(std::string frame)
{
    respond([frame = std::move(frame)](std::size_t) mutable {
        pulled_frames last;
        last.frames.push_back(std::move(frame));
        last.end = true;
        return last;
    });
}

void server_stream::wake()
{
    if (wake_posted_.exchange(true))
        return;
    reactor_->post([self = shared_from_this()] { self->handle_wake(); });
}

void server_stream::on_closed(const std::function<void()>& callback)
{
    const auto self = shared_from_this();
    const bool posted = reactor_->post([self, callback] {
        if (self->closed_)
            callback();
        else
            self->on_closed_ = callback;
    });
    if (!posted)
        callback();
}

void server_stream::start(pull_function pull)
{
    const auto connection = connection_.lock();
    if (closed_ || pull_ || !connection)
        return;
    pull_ = std::move(pull);
    connection->start_answer(id_);
}

void server_stream::handle_wake()
{
    // Reset before the pull, so that a wake() during the pull posts again.
    wake_posted_ = false;
    const auto connection = connection_.lock();
    if (!closed_ && pull_ && connection)
        connection->resume_answer(id_);
}

bool server_stream::handle_data(std::string_view data)
{
    while (!data.empty()) {
        auto frame = decoder_.next(data);
        if (!frame || (*frame && has_request_))
            return false;
        if (*frame) {
            request_ = std::move(**frame);
            has_request_ = true;
        }
    }
    return true;
}

bool server_stream::request_complete() const
{
    return has_request_ && !decoder_.mid_frame();
}

bool server_stream::refill(std::size_t room, std::size_t max_frame_bytes)
{
    pending_.clear();
    pending_offset_ = 0;
    pulled_frames next = pull_(room);
    for (const std::string& frame : next.frames) {
        if (frame.size() > max_frame_bytes)
            return false;
        append_frame(pending_, frame);
    }
    at_end_ = next.end;
    return true;
}

link_chunk server_stream::read(std::span<char> room,
                               std::size_t max_frame_bytes)
{
    if (pending_offset_ == pending_.size() && !at_end_ &&
        !refill(room.size(), max_frame_bytes))
        return {.broken = true};
    const std::size_t size =
        std::min(pending_.size() - pending_offset_, room.size());
    std::copy_n(pending_.data() + pending_offset_, size, room.data());
    pending_offset_ += size;
    const bool all = pending_offset_ == pending_.size();
    return {.size = size, .end = all && at_end_};
}

void server_stream::close()
{
    closed_ = true;
    const pull_function unused = std::exchange(pull_, nullptr);
    const auto callback = std::exchange(on_closed_, nullptr);
    if (callback)
        callback();
}

} // namespace cyclamenrun

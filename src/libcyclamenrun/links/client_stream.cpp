#include "client_stream.hpp"

#include "link_client_connection.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

client_stream::client_stream(std::shared_ptr<link_reactor> reactor,
                             std::string path, std::string request,
                             client_handlers handlers,
                             const link_limits& limits)
    : reactor_(std::move(reactor)), path_(std::move(path)),
      request_(std::move(request)), handlers_(std::move(handlers)),
      decoder_(limits.max_frame_bytes),
      large_frame_bytes_(limits.stream_window / 2)
{
}

void client_stream::consumed(std::size_t bytes)
{
    if (bytes == 0 || consumed_.fetch_add(bytes) != 0)
        return;
    reactor_->post(
        [self = shared_from_this()] { self->return_consumed_credit(); });
}

void client_stream::cancel()
{
    reactor_->post([self = shared_from_this()] {
        if (self->ended_)
            return;
        const auto connection = self->connection_.lock();
        if (connection)
            connection->cancel(self);
        else
            self->end({.failure = link_failure::cancelled});
    });
}

void client_stream::end(const stream_end& how)
{
    if (std::exchange(ended_, true))
        return;
    request_ = {};
    const client_handlers handlers = std::exchange(handlers_, {});
    if (handlers.on_end)
        handlers.on_end(how);
}

void client_stream::return_consumed_credit()
{
    const std::size_t bytes = consumed_.exchange(0);
    const std::size_t already_returned = std::min(bytes, early_credit_bytes_);
    early_credit_bytes_ -= already_returned;
    return_credit(bytes - already_returned);
}

void client_stream::return_credit(std::size_t bytes)
{
    const auto connection = connection_.lock();
    if (connection && !ended_)
        connection->return_credit(id_, bytes);
}

bool client_stream::handle_data(std::string_view data)
{
    while (!data.empty()) {
        const std::size_t before = data.size();
        auto frame = decoder_.next(data);
        if (!frame)
            return false;
        account_partial_frame(before - data.size());
        if (*frame)
            deliver(std::move(**frame));
    }
    return true;
}

void client_stream::account_partial_frame(std::size_t bytes)
{
    unreturned_bytes_ += bytes;
    // A frame larger than the flow control window would never arrive: its
    // first part fills the window and can't be consumed without the rest.
    // nghttp2 returns credit only once half of the window is consumed, so the
    // peer may have credit for only half of it when a frame begins. The credit
    // for frames larger than that is therefore returned before they are
    // complete. Memory is then bounded by max_frame_bytes, not by the window.
    const auto size = decoder_.frame_size();
    if (!size || *size + frame_prefix_bytes <= large_frame_bytes_)
        return;
    return_credit(unreturned_bytes_);
    returned_early_bytes_ += std::exchange(unreturned_bytes_, 0);
}

void client_stream::deliver(std::string frame)
{
    // The caller passes only the payload's size to consumed(), so the credit
    // for the length prefix is settled here.
    if (returned_early_bytes_ == 0)
        return_credit(frame_prefix_bytes);
    else
        early_credit_bytes_ += returned_early_bytes_ - frame_prefix_bytes;
    unreturned_bytes_ = 0;
    returned_early_bytes_ = 0;
    if (handlers_.on_frame)
        handlers_.on_frame(std::move(frame));
}

link_chunk client_stream::read_request(std::span<char> room)
{
    const std::size_t size =
        std::min(request_.size() - request_offset_, room.size());
    std::copy_n(request_.data() + request_offset_, size, room.data());
    request_offset_ += size;
    const bool all = request_offset_ == request_.size();
    if (all)
        request_ = {};
    if (all)
        request_offset_ = 0;
    return {.size = size, .end = all};
}

} // namespace cyclamenrun

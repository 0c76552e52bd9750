#include "path_stream.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/SocketImpl.h>
#include <sys/socket.h>
#include <utility>

namespace cyclamenrun::bench
{

namespace
{

constexpr std::string_view success_status = "HTTP/1.1 200";
constexpr std::string_view event_prefix = "data: ";
constexpr std::string_view final_event = "data: [DONE]";
/** Engines send no longer lines, so a longer one ends the stream. */
constexpr std::size_t max_line_bytes = 65536;

double in_milliseconds(duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

path_stream::path_stream(link_reactor& reactor, path_target& target,
                         end_handler on_end)
    : reactor_(reactor), target_(target), on_end_(std::move(on_end))
{
}

void path_stream::start()
{
    started_ = steady_now();
    try {
        socket_.connectNB(target_.address);
    } catch (const Poco::Exception&) {
        close(false);
        return;
    }
    const auto descriptor = static_cast<int>(socket_.impl()->sockfd());
    watch_ = reactor_.watch(descriptor, shared_from_this(), true);
}

void path_stream::ready(bool readable, bool writable)
{
    try {
        if (writable && sent_ < target_.request.size())
            send_request();
        if (readable && !closed_)
            receive();
    } catch (const Poco::Exception&) {
        close(false);
    }
}

void path_stream::flush() {}

void path_stream::loop_stopping()
{
    closed_ = true;
}

void path_stream::send_request()
{
    const std::string_view rest =
        std::string_view(target_.request).substr(sent_);
    const int size = socket_.sendBytes(
        rest.data(), static_cast<int>(rest.size()), MSG_NOSIGNAL);
    if (size > 0)
        sent_ += size;
    if (sent_ == target_.request.size())
        reactor_.set_interest(watch_, true, false);
}

void path_stream::receive()
{
    const auto buffer = reactor_.read_buffer();
    const int size =
        socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    if (size > 0)
        handle_bytes({buffer.data(), static_cast<std::size_t>(size)});
    else if (size == 0)
        close(last_event_seen_);
}

void path_stream::handle_bytes(std::string_view bytes)
{
    // Both targets write each event into one HTTP chunk, so lines of the
    // chunked transfer coding can be skipped.
    while (!bytes.empty() && !closed_) {
        const std::size_t end = bytes.find('\n');
        partial_line_ += bytes.substr(0, end);
        if (end == std::string_view::npos) {
            if (partial_line_.size() > max_line_bytes)
                close(false);
            return;
        }
        bytes.remove_prefix(end + 1);
        const std::string line = std::exchange(partial_line_, {});
        if (!std::exchange(status_seen_, true) &&
            !line.starts_with(success_status))
            close(false);
        else if (line.starts_with(event_prefix))
            handle_event(line.starts_with(final_event));
    }
}

void path_stream::handle_event(bool last)
{
    if (last) {
        last_event_seen_ = true;
        close(true);
        return;
    }
    const time_point now = steady_now();
    ++target_.tokens;
    if (last_token_) {
        target_.between_tokens.add(in_milliseconds(now - *last_token_));
    } else {
        first_token_ms_ = in_milliseconds(now - started_);
        target_.first_token.add(*first_token_ms_);
    }
    last_token_ = now;
}

void path_stream::close(bool complete)
{
    if (std::exchange(closed_, true))
        return;
    ++(complete ? target_.complete : target_.broken);
    const auto self = shared_from_this();
    reactor_.unwatch(watch_);
    socket_.close();
    on_end_(first_token_ms_);
}

} // namespace cyclamenrun::bench

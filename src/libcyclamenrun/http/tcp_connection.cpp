#include "tcp_connection.hpp"

#include "socket_input.hpp"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <cerrno>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace cyclamenrun
{

namespace
{

/** Sent bytes are erased from the output buffer once they exceed this. */
constexpr std::size_t compaction_threshold_bytes = std::size_t(64) << 10;
constexpr int keepalive_probes = 2;
constexpr milliseconds second{1000};

void set_option(int socket, int level, int option, int value)
{
    ::setsockopt(socket, level, option, &value, sizeof value);
}

/**
 * Sets timeouts for a peer behind a network partition, which neither responds
 * nor resets. Without them a connection would hang for as long as the operating
 * system retransmits.
 */
void set_timeouts(int socket, const connection_timeouts& timeouts)
{
    const auto idle_s = static_cast<int>(
        std::max<std::int64_t>(1, timeouts.idle_probe / second));
    set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
               static_cast<int>(timeouts.unacknowledged.count()));
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, idle_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, idle_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
}

/** With it, the operating system ends the connection by a reset. */
void set_reset_on_close(int socket, bool resets)
{
    const linger option{resets ? 1 : 0, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

bool would_block(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

} // namespace

std::string_view name_of(connection_end end)
{
    switch (end) {
    case connection_end::finished:
        return "finished";
    case connection_end::broken:
        return "broken";
    case connection_end::unreachable:
        return "unreachable";
    case connection_end::refused:
        return "refused";
    }
    return "broken";
}

tcp_connection::tcp_connection(std::shared_ptr<link_reactor> reactor,
                               const Poco::Net::StreamSocket& socket,
                               bool connecting)
    : reactor_(std::move(reactor)), socket_(socket), connecting_(connecting)
{
}

std::shared_ptr<tcp_connection>
tcp_connection::connect(std::shared_ptr<link_reactor> reactor,
                        const ip_endpoint& peer,
                        const connection_timeouts& timeouts, hooks on)
{
    try {
        Poco::Net::StreamSocket socket;
        socket.connectNB(Poco::Net::SocketAddress(peer.host, peer.port));
        socket.setNoDelay(true);
        set_timeouts(socket.impl()->sockfd(), timeouts);
        auto connection =
            std::make_shared<tcp_connection>(std::move(reactor), socket, true);
        connection->start(std::move(on));
        return connection;
    } catch (const Poco::Exception&) {
        return nullptr;
    }
}

void tcp_connection::start(hooks on)
{
    open_ = true;
    hooks_ = std::make_shared<const hooks>(std::move(on));
    watch_ = reactor_->watch(socket_.impl()->sockfd(), shared_from_this(),
                             connecting_);
}

void tcp_connection::replace_hooks(hooks on)
{
    if (open_)
        hooks_ = std::make_shared<const hooks>(std::move(on));
}

void tcp_connection::send(std::string_view bytes)
{
    if (!open_ || bytes.empty())
        return;
    output_ += bytes;
    output_held_.update(output_.size());
    if (flush_pending_ || connecting_)
        return;
    flush_pending_ = true;
    reactor_->flush_later(shared_from_this());
}

void tcp_connection::count_output(std::shared_ptr<input_account> account)
{
    output_held_ = held_bytes(std::move(account));
    output_held_.update(output_.size());
}

void tcp_connection::pause_reading(bool paused)
{
    if (paused_ == paused || !open_)
        return;
    paused_ = paused;
    update_interest();
}

void tcp_connection::update_interest()
{
    if (open_)
        reactor_->set_interest(watch_, !paused_,
                               connecting_ || unsent_bytes() > 0);
}

void tcp_connection::close()
{
    if (!std::exchange(open_, false))
        return;
    const auto self = shared_from_this();
    reactor_->unwatch(watch_);
    socket_.close();
    hooks_.reset();
    std::string().swap(output_);
    sent_ = 0;
    output_held_.update(0);
}

void tcp_connection::abort()
{
    if (!open_)
        return;
    set_reset_on_close(socket_.impl()->sockfd(), true);
    close();
}

bool tcp_connection::has_unread_bytes() const
{
    return open_ && has_input(socket_.impl()->sockfd());
}

bool tcp_connection::has_unacknowledged_bytes() const
{
    int queued = 0;
    const bool known =
        open_ && ::ioctl(socket_.impl()->sockfd(), SIOCOUTQ, &queued) == 0;
    return unsent_bytes() > 0 || (known && queued > 0);
}

void tcp_connection::end_sending()
{
    end_sending_ = true;
    if (open_ && unsent_bytes() == 0)
        finish_sending();
}

void tcp_connection::reset_unless_finished()
{
    if (!open_)
        return;
    resets_on_close_ = true;
    set_reset_on_close(socket_.impl()->sockfd(), true);
}

void tcp_connection::finish_sending()
{
    // In this order: a process that dies between the calls must not reset what
    // it has completed.
    if (std::exchange(resets_on_close_, false))
        set_reset_on_close(socket_.impl()->sockfd(), false);
    ::shutdown(socket_.impl()->sockfd(), SHUT_WR);
}

void tcp_connection::end(connection_end reason)
{
    const auto on = hooks_;
    close();
    if (on && on->ended)
        on->ended(reason);
}

void tcp_connection::ready(bool readable, bool writable)
{
    const auto self = shared_from_this();
    if (connecting_) {
        finish_connecting();
        return;
    }
    if (open_ && writable && unsent_bytes() > 0)
        write_some();
    if (open_ && readable)
        read_some();
}

void tcp_connection::finish_connecting()
{
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(socket_.impl()->sockfd(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
        end(error == ECONNREFUSED ? connection_end::refused
                                  : connection_end::unreachable);
        return;
    }
    connecting_ = false;
    const auto on = hooks_;
    if (on && on->connected)
        on->connected();
    if (open_)
        write_some();
}

void tcp_connection::read_some()
{
    const auto buffer = reactor_->read_buffer();
    const auto count =
        ::recv(socket_.impl()->sockfd(), buffer.data(), buffer.size(), 0);
    if (count == 0) {
        end(connection_end::finished);
        return;
    }
    if (count < 0) {
        if (!would_block(errno))
            end(connection_end::broken);
        return;
    }
    const auto on = hooks_;
    if (on && on->received)
        on->received({buffer.data(), static_cast<std::size_t>(count)});
}

void tcp_connection::write_some()
{
    const auto unsent_before = unsent_bytes();
    // Stops at the low water mark, so that it is reported before the rest is
    // sent: to a fast reader this loop sends everything.
    const auto target = unsent_before > low_water_ ? low_water_ : 0;
    while (unsent_bytes() > target) {
        const auto count =
            ::send(socket_.impl()->sockfd(), output_.data() + sent_,
                   unsent_bytes() - target, MSG_NOSIGNAL);
        if (count < 0 && would_block(errno))
            break;
        if (count <= 0) {
            end(connection_end::broken);
            return;
        }
        sent_ += static_cast<std::size_t>(count);
    }
    compact_output();
    update_interest();
    if (unsent_before > 0 && unsent_bytes() == 0 && end_sending_)
        finish_sending();
    const bool drained =
        unsent_before > low_water_ && unsent_bytes() <= low_water_;
    const auto on = hooks_;
    if (drained && on && on->drained)
        on->drained();
}

void tcp_connection::compact_output()
{
    if (sent_ < output_.size() && sent_ <= compaction_threshold_bytes)
        return;
    output_.erase(0, sent_);
    sent_ = 0;
    if (output_.capacity() > compaction_threshold_bytes &&
        output_.size() < output_.capacity() / 4)
        output_.shrink_to_fit();
    output_held_.update(output_.size());
}

void tcp_connection::flush()
{
    flush_pending_ = false;
    if (open_ && !connecting_)
        write_some();
}

void tcp_connection::loop_stopping()
{
    end(connection_end::broken);
}

} // namespace cyclamenrun

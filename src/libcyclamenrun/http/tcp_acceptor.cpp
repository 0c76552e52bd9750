#include "tcp_acceptor.hpp"

#include "log_event.hpp"
#include "unread_connection.hpp"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <cerrno>
#include <sys/socket.h>
#include <utility>

namespace cyclamenrun
{

namespace
{

constexpr int backlog = 256;
/**
 * The same where connections beyond the limits are rejected: those of a second
 * of a surge, for a process that is paused. A connection that does not fit is
 * tried again by its caller's host only after a second.
 */
constexpr int gated_backlog = 1024;
/** Bounds the accepts per wake-up, so that open connections don't starve. */
constexpr int max_accepts_per_wakeup = 32;
/** Pause before accepting again where the gate lets connections wait. */
constexpr milliseconds gate_pause{20};
/** Pause before accepting again after descriptors or memory have run out. */
constexpr milliseconds accept_retry_delay{50};

bool out_of_descriptors(int error)
{
    return error == EMFILE || error == ENFILE;
}

bool out_of_resources(int error)
{
    return out_of_descriptors(error) || error == ENOBUFS || error == ENOMEM;
}

int accept_from(int listener)
{
    return ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
}

} // namespace

tcp_acceptor::tcp_acceptor(std::shared_ptr<link_reactor> reactor,
                           const ip_endpoint& address, accept_handler on_accept)
    : reactor_(std::move(reactor)), on_accept_(std::move(on_accept))
{
    socket_.bind(Poco::Net::SocketAddress(address.host, address.port), true);
    socket_.listen(backlog);
    socket_.setBlocking(false);
}

ip_endpoint tcp_acceptor::address() const
{
    const auto bound = socket_.address();
    return {bound.host().toString(), bound.port()};
}

void tcp_acceptor::start()
{
    accepting_ = true;
    watch_ =
        reactor_->watch(socket_.impl()->sockfd(), shared_from_this(), false);
}

void tcp_acceptor::stop()
{
    if (!std::exchange(accepting_, false))
        return;
    const auto self = shared_from_this();
    // The connections in its queue are reset when a listener is closed.
    for (int i = 0; i < gated_backlog && !reactor_->stopping(); ++i) {
        if (!accept_one())
            break;
    }
    reactor_->unwatch(watch_);
    socket_.close();
}

void tcp_acceptor::ready(bool, bool)
{
    for (int i = 0; i < max_accepts_per_wakeup && accepting_; ++i) {
        if (gate_.present() && gate_.must_wait()) {
            resume_after(gate_pause);
            return;
        }
        if (!accept_one())
            return;
    }
}

bool tcp_acceptor::accept_one()
{
    const int fd = accept_from(socket_.impl()->sockfd());
    if (fd < 0) {
        const int error = errno;
        if (error == ECONNABORTED || error == EINTR)
            return true;
        if (out_of_descriptors(error) && reject_one())
            return true;
        if (out_of_resources(error))
            pause();
        return false;
    }
    if (gate_.present()) {
        spare_.open();
        if (!gate_.may_accept()) {
            close_with_reset(fd);
            return true;
        }
    }
    Poco::Net::StreamSocket socket(new Poco::Net::StreamSocketImpl(fd));
    socket.setNoDelay(true);
    on_accept_(socket);
    return true;
}

void tcp_acceptor::set_gate(connection_gate gate)
{
    gate_ = std::move(gate);
    socket_.listen(gated_backlog);
    spare_.open();
}

bool tcp_acceptor::reject_one()
{
    if (!spare_.close())
        return false;
    const int fd = accept_from(socket_.impl()->sockfd());
    if (fd >= 0)
        close_with_reset(fd);
    spare_.open();
    if (fd >= 0)
        gate_.on_exhausted();
    return fd >= 0;
}

void tcp_acceptor::pause()
{
    log_event(log_severity::error, log_event_name::internal_error,
              {{log_key::detail,
                "out of file descriptors or memory; accepting connections "
                "is paused"}});
    resume_after(accept_retry_delay);
}

void tcp_acceptor::resume_after(milliseconds delay)
{
    reactor_->set_interest(watch_, false, false);
    reactor_->post_at(reactor_->now() + delay, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->accepting_)
            self->reactor_->set_interest(self->watch_, true, false);
    });
}

} // namespace cyclamenrun

#include "datagram_socket.hpp"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <sys/socket.h>
#include <utility>

namespace cyclamenrun
{

namespace
{

/** Bounds the datagrams received per wake-up, so that no socket starves. */
constexpr int max_datagrams_per_wakeup = 64;

} // namespace

datagram_socket::datagram_socket(std::shared_ptr<link_reactor> reactor,
                                 const ip_endpoint& address,
                                 receive_handler on_received)
    : reactor_(std::move(reactor)),
      // With SO_REUSEADDR the kernel may assign a port that is in use.
      socket_(Poco::Net::SocketAddress(address.host, address.port),
              address.port != 0),
      on_received_(std::move(on_received))
{
    socket_.setBlocking(false);
}

ip_endpoint datagram_socket::address() const
{
    const auto bound = socket_.address();
    return {bound.host().toString(), bound.port()};
}

void datagram_socket::start()
{
    open_ = true;
    watch_ =
        reactor_->watch(socket_.impl()->sockfd(), shared_from_this(), false);
}

void datagram_socket::stop()
{
    if (!std::exchange(open_, false))
        return;
    const auto self = shared_from_this();
    reactor_->unwatch(watch_);
    socket_.close();
}

void datagram_socket::send(const ip_endpoint& to, std::string_view bytes)
{
    if (!open_)
        return;
    try {
        socket_.sendTo(bytes.data(), static_cast<int>(bytes.size()),
                       Poco::Net::SocketAddress(to.host, to.port));
    } catch (const Poco::Exception&) {
        // UDP may lose any datagram, so senders already handle a lost one.
        return;
    }
}

void datagram_socket::ready(bool, bool)
{
    for (int i = 0; i < max_datagrams_per_wakeup && open_; ++i) {
        if (!receive_one())
            return;
    }
}

bool datagram_socket::receive_one()
{
    const auto buffer = reactor_->read_buffer();
    sockaddr_storage from{};
    socklen_t size = sizeof from;
    const auto count =
        ::recvfrom(socket_.impl()->sockfd(), buffer.data(), buffer.size(), 0,
                   reinterpret_cast<sockaddr*>(&from), &size);
    if (count < 0)
        return false;
    const Poco::Net::SocketAddress peer(reinterpret_cast<sockaddr*>(&from),
                                        size);
    on_received_({peer.host().toString(), peer.port()},
                 {buffer.data(), static_cast<std::size_t>(count)});
    return true;
}

} // namespace cyclamenrun

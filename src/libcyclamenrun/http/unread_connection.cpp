#include "unread_connection.hpp"

#include <Poco/Net/StreamSocketImpl.h>
#include <sys/socket.h>
#include <utility>

namespace cyclamenrun
{

void close_with_reset(Poco::Net::StreamSocket socket)
{
    const linger reset_on_close{1, 0};
    ::setsockopt(socket.impl()->sockfd(), SOL_SOCKET, SO_LINGER,
                 &reset_on_close, sizeof reset_on_close);
    socket.close();
}

unread_connection::unread_connection(std::shared_ptr<link_reactor> reactor,
                                     const Poco::Net::StreamSocket& socket,
                                     const deadlines& silent_until,
                                     readable_handler on_readable)
    : reactor_(std::move(reactor)), socket_(socket),
      silent_until_(silent_until), on_readable_(std::move(on_readable))
{
}

void unread_connection::start()
{
    watch_ =
        reactor_->watch(socket_.impl()->sockfd(), shared_from_this(), false);
}

void unread_connection::ready(bool, bool)
{
    if (const auto on_readable = std::exchange(on_readable_, nullptr))
        on_readable(*this);
}

void unread_connection::reset()
{
    close_with_reset(release());
}

Poco::Net::StreamSocket unread_connection::release()
{
    const auto self = shared_from_this();
    on_readable_ = nullptr;
    reactor_->unwatch(watch_);
    return socket_;
}

} // namespace cyclamenrun

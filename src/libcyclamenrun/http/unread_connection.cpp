#include "unread_connection.hpp"

#include "socket_input.hpp"

#include <Poco/Net/StreamSocketImpl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace cyclamenrun
{

namespace
{

void reset_on_close(int socket)
{
    const linger no_time{1, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &no_time, sizeof no_time);
}

} // namespace

void close_with_reset(int socket)
{
    reset_on_close(socket);
    ::close(socket);
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
    auto socket = release();
    reset_on_close(socket.impl()->sockfd());
    socket.close();
}

bool unread_connection::has_unread_bytes() const
{
    return has_input(socket_.impl()->sockfd());
}

Poco::Net::StreamSocket unread_connection::release()
{
    const auto self = shared_from_this();
    on_readable_ = nullptr;
    reactor_->unwatch(watch_);
    return socket_;
}

} // namespace cyclamenrun

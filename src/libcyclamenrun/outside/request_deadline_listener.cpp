#include "request_deadline_listener.hpp"

#include "request_deadline_socket.hpp"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocketImpl.h>
#include <Poco/Net/SocketAddress.h>
#include <cerrno>
#include <sys/socket.h>

namespace cyclamenrun
{

namespace
{

/** Creates a request_deadline_socket for each accepted connection. */
class listener_impl : public Poco::Net::ServerSocketImpl
{
public:
    explicit listener_impl(milliseconds request_timeout)
        : request_timeout_(request_timeout)
    {
    }

    Poco::Net::SocketImpl*
    acceptConnection(Poco::Net::SocketAddress& client) override
    {
        sockaddr_storage storage{};
        auto* address = reinterpret_cast<sockaddr*>(&storage);
        socklen_t length = sizeof storage;
        int accepted = -1;
        do {
            accepted = ::accept4(sockfd(), address, &length, SOCK_CLOEXEC);
        } while (accepted < 0 && errno == EINTR);
        if (accepted < 0)
            throw Poco::Net::NetException("accept", errno);
        client = Poco::Net::SocketAddress(address, length);
        return new request_deadline_socket(accepted, request_timeout_);
    }

private:
    milliseconds request_timeout_;
};

/**
 * Gives access to the protected constructor of ServerSocket, whose second
 * argument only selects the overload.
 */
class listener : public Poco::Net::ServerSocket
{
public:
    explicit listener(milliseconds request_timeout)
        : ServerSocket(new listener_impl(request_timeout), true)
    {
    }
};

} // namespace

Poco::Net::ServerSocket listen_with_deadline(const ip_endpoint& address,
                                             milliseconds request_timeout)
{
    listener socket(request_timeout);
    socket.bind(Poco::Net::SocketAddress(to_string(address)), true);
    socket.listen();
    return socket;
}

} // namespace cyclamenrun

#include "http_deadline_socket.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Timespan.h>
#include <algorithm>
#include <cerrno>
#include <sys/socket.h>
#include <utility>

namespace cyclamenrun
{
namespace
{

bool would_block(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

} // namespace

http_deadline_socket::http_deadline_socket(time_point deadline,
                                           milliseconds response_timeout,
                                           clock_function clock)
    : deadline_(deadline), response_timeout_(response_timeout),
      clock_(std::move(clock)), awake_(clock_())
{
}

int http_deadline_socket::sendBytes(const void* buffer, int length, int flags)
{
    const auto* bytes = static_cast<const char*>(buffer);
    int sent = 0;
    while (sent < length) {
        wait_until_ready(SELECT_WRITE);
        const auto count = ::send(sockfd(), bytes + sent, length - sent,
                                  flags | MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count >= 0)
            sent += static_cast<int>(count);
        else if (!would_block(errno))
            throw Poco::Net::NetException("send", errno);
    }
    return sent;
}

int http_deadline_socket::receiveBytes(void* buffer, int length, int flags)
{
    for (;;) {
        wait_until_ready(SELECT_READ);
        const auto count =
            ::recv(sockfd(), buffer, length, flags | MSG_DONTWAIT);
        if (count >= 0)
            return static_cast<int>(count);
        if (!would_block(errno))
            throw Poco::Net::NetException("receive", errno);
    }
}

void http_deadline_socket::wait_until_ready(int mode)
{
    const auto give_up_at =
        std::min(deadline_, awake_.now() + response_timeout_);
    const auto poll_for = [this, mode](milliseconds wait) {
        return poll(Poco::Timespan(wait.count() * Poco::Timespan::MILLISECONDS),
                    mode);
    };
    if (!wait_awake(awake_, clock_, give_up_at, poll_for))
        throw Poco::TimeoutException("deadline or response timeout reached");
}

} // namespace cyclamenrun

#include "request_deadline_socket.hpp"

#include <Poco/Exception.h>
#include <Poco/Timespan.h>

namespace cyclamenrun
{

request_deadline_socket::request_deadline_socket(poco_socket_t accepted,
                                                 milliseconds request_timeout)
    : Poco::Net::StreamSocketImpl(accepted), request_timeout_(request_timeout)
{
}

request_deadline_socket::~request_deadline_socket()
{
    used_.load(std::memory_order_acquire);
}

int request_deadline_socket::sendBytes(const void* buffer, int length,
                                       int flags)
{
    deadline_.reset();
    record_use();
    return StreamSocketImpl::sendBytes(buffer, length, flags);
}

int request_deadline_socket::receiveBytes(void* buffer, int length, int flags)
{
    if (!deadline_)
        deadline_ = awake_.now() + request_timeout_;
    const auto poll_for = [this](milliseconds wait) {
        return poll(Poco::Timespan(wait.count() * Poco::Timespan::MILLISECONDS),
                    SELECT_READ);
    };
    if (!wait_awake(awake_, steady_now, *deadline_, poll_for))
        throw Poco::TimeoutException(
            "client did not send the whole request in time");
    return StreamSocketImpl::receiveBytes(buffer, length, flags);
}

bool request_deadline_socket::poll(const Poco::Timespan& timeout, int mode)
{
    record_use();
    return StreamSocketImpl::poll(timeout, mode);
}

int request_deadline_socket::available()
{
    record_use();
    return StreamSocketImpl::available();
}

void request_deadline_socket::setSendTimeout(const Poco::Timespan& timeout)
{
    record_use();
    StreamSocketImpl::setSendTimeout(timeout);
}

void request_deadline_socket::record_use()
{
    used_.store(true, std::memory_order_release);
}

} // namespace cyclamenrun

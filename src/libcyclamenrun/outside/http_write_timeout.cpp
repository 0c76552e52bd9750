#include "http_write_timeout.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>

namespace cyclamenrun
{

namespace
{

Poco::Net::StreamSocket* socket_of(Poco::Net::HTTPServerRequest& request)
{
    auto* served = dynamic_cast<Poco::Net::HTTPServerRequestImpl*>(&request);
    return served == nullptr ? nullptr : &served->socket();
}

} // namespace

http_write_timeout::http_write_timeout(Poco::Net::HTTPServerRequest& request,
                                       Poco::Net::HTTPServerResponse& response,
                                       milliseconds limit)
    : request_(request), response_(response),
      limit_(limit.count() * Poco::Timespan::MILLISECONDS)
{
    auto* socket = socket_of(request_);
    if (socket != nullptr)
        socket->setSendTimeout(limit_);
}

http_write_timeout::~http_write_timeout()
{
    if (!client_accepts_data())
        response_.setKeepAlive(false);
}

bool http_write_timeout::client_accepts_data() const
{
    try {
        const auto* socket = socket_of(request_);
        return socket == nullptr ||
               socket->poll(limit_, Poco::Net::Socket::SELECT_WRITE);
    } catch (const Poco::Exception&) {
        return false;
    }
}

} // namespace cyclamenrun

#ifndef CYCLAMENRUN_HTTP_WRITE_LIMIT_HPP
#define CYCLAMENRUN_HTTP_WRITE_LIMIT_HPP

#include "clock.hpp"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Timespan.h>

namespace cyclamenrun
{

/**
 * Bounds how long an HTTP client may take no part of its answer. Lives as
 * long as the handling of one request.
 *
 * Guards against a client that keeps its connection but reads no more. The
 * write would wait for ever and hold a thread, until none is left and nobody
 * is served. The socket's send timeout ends the write; but POCO's streams
 * swallow its exception, and of a connection that is kept alive the next
 * request would be read and its answer block again. So at the end the
 * connection is given up unless the client has made room.
 */
class http_write_limit
{
public:
    http_write_limit(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response,
                     milliseconds limit);
    ~http_write_limit();
    http_write_limit(const http_write_limit&) = delete;
    http_write_limit& operator=(const http_write_limit&) = delete;

private:
    bool client_takes_more() const;

    Poco::Net::HTTPServerRequest& request_;
    Poco::Net::HTTPServerResponse& response_;
    Poco::Timespan limit_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_HTTP_WRITE_LIMIT_HPP

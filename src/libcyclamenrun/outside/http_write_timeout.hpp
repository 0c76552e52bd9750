#ifndef CYCLAMENRUN_HTTP_WRITE_TIMEOUT_HPP
#define CYCLAMENRUN_HTTP_WRITE_TIMEOUT_HPP

#include "clock.hpp"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Timespan.h>

namespace cyclamenrun
{

/**
 * Limits how long an HTTP server waits for a client to read its answer. One
 * object is created for each request and lives while it is handled.
 *
 * Guards against clients that keep their connection open but stop reading.
 * Writes to them would block forever and hold threads until none is left to
 * serve others. The socket's send timeout ends a blocked write, but POCO's
 * streams swallow its exception; on a kept-alive connection the server would
 * read the next request and block again. So the destructor disables keep-alive
 * unless the socket accepts more data.
 */
class http_write_timeout
{
public:
    http_write_timeout(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response,
                       milliseconds limit);
    ~http_write_timeout();
    http_write_timeout(const http_write_timeout&) = delete;
    http_write_timeout& operator=(const http_write_timeout&) = delete;

private:
    bool client_accepts_data() const;

    Poco::Net::HTTPServerRequest& request_;
    Poco::Net::HTTPServerResponse& response_;
    Poco::Timespan limit_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_HTTP_WRITE_TIMEOUT_HPP

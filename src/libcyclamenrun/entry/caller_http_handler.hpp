#ifndef CYCLAMENRUN_CALLER_HTTP_HANDLER_HPP
#define CYCLAMENRUN_CALLER_HTTP_HANDLER_HPP

#include "caller_request.hpp"
#include "entry_core.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <functional>
#include <optional>
#include <string>

namespace cyclamenrun
{

/** Limits on one HTTP request of a caller. */
struct caller_http_limits {
    std::size_t max_body_bytes = std::size_t{1} << 20U;
    std::size_t max_header_bytes = 16384;
    milliseconds write_timeout{30000};
};

/**
 * Handles one HTTP request of a caller: routes it, validates it and passes it
 * to the core. An invalid request gets a response with the refusal's reason.
 */
class caller_http_handler : public Poco::Net::HTTPRequestHandler
{
public:
    caller_http_handler(entry_core& core, caller_http_limits limits);

    void handleRequest(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response) override;

private:
    using http_request = Poco::Net::HTTPServerRequest;
    using http_response = Poco::Net::HTTPServerResponse;

    outcome<void> route(http_request& request, http_response& response);
    outcome<void> complete(completion_format format, http_request& request,
                           http_response& response);
    outcome<void> call(const std::string& service_name, http_request& request,
                       http_response& response);
    outcome<void> ticket(const std::string& service_name, http_request& request,
                         http_response& response);
    outcome<void> resume(http_request& request, http_response& response);
    outcome<std::string> read_body(http_request& request) const;
    std::function<bool()> stopping() const;
    void answer_health(const std::string& path, http_response& response);

    entry_core& core_;
    caller_http_limits limits_;
    std::string request_id_;
};

/** Creates a handler for each request. */
class caller_http_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    caller_http_factory(entry_core& core, caller_http_limits limits)
        : core_(core), limits_(limits)
    {
    }

    Poco::Net::HTTPRequestHandler*
    createRequestHandler(const Poco::Net::HTTPServerRequest& request) override;

private:
    entry_core& core_;
    caller_http_limits limits_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CALLER_HTTP_HANDLER_HPP

#include "rpc_http_handler.hpp"

#include "http_write_timeout.hpp"
#include "log_event.hpp"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/NumberParser.h>
#include <algorithm>
#include <istream>
#include <optional>

namespace cyclamenrun
{

namespace
{

constexpr int method_not_allowed = 405;
constexpr int content_too_large = 413;
/** Timeout of a call without a valid `Connect-Timeout-Ms` header. */
constexpr milliseconds default_timeout{10000};
constexpr milliseconds max_timeout{60000};
constexpr milliseconds write_timeout{10000};

rpc_response error_response(int status, rpc_code code, std::string message)
{
    return {status, "application/json",
            write_rpc_error({code, std::move(message)})};
}

/** Reads a body; stops and returns empty once it exceeds `max_bytes` bytes. */
std::optional<std::string> read_body(std::istream& stream,
                                     std::size_t max_bytes)
{
    constexpr std::size_t chunk_bytes = 16384;
    std::string body;
    std::string chunk(chunk_bytes, '\0');
    while (stream.read(chunk.data(), chunk_bytes) || stream.gcount() > 0) {
        body.append(chunk, 0, static_cast<std::size_t>(stream.gcount()));
        if (body.size() > max_bytes)
            return std::nullopt;
    }
    return body;
}

/**
 * Returns the timeout that the client requests, up to the maximum; the default
 * if the header is not a number.
 */
milliseconds timeout_of(const std::string& header)
{
    Poco::UInt64 requested = 0;
    if (!Poco::NumberParser::tryParseUnsigned64(header, requested))
        return default_timeout;
    const auto longest = static_cast<Poco::UInt64>(max_timeout.count());
    return milliseconds(std::min(requested, longest));
}

/**
 * Formats whole seconds, as the header requires; rounds up so that clients do
 * not retry too early.
 */
std::string retry_after_text(milliseconds time)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(time);
    return std::to_string(seconds.count());
}

/**
 * Logs a refused call. The path is untrusted; log_event() truncates and escapes
 * it.
 */
void log_refused(const Poco::Net::HTTPServerRequest& request,
                 const rpc_response& answer)
{
    const auto error = parse_rpc_error(answer.body, answer.status);
    log_event(log_severity::info, log_event_name::operator_refused,
              {{log_key::path, request.getURI()},
               {log_key::status, answer.status},
               {log_key::reason, name_of(error.code)},
               {log_key::address, request.clientAddress().toString()}});
}

} // namespace

rpc_http_handler::rpc_http_handler(std::shared_ptr<const rpc_router> router,
                                   std::size_t max_body_bytes)
    : router_(std::move(router)), max_body_bytes_(max_body_bytes)
{
}

void rpc_http_handler::handleRequest(Poco::Net::HTTPServerRequest& request,
                                     Poco::Net::HTTPServerResponse& response)
{
    const http_write_timeout limit(request, response, write_timeout);
    const auto answer = respond(request);
    if (answer.status != Poco::Net::HTTPResponse::HTTP_OK)
        log_refused(request, answer);
    using status_type = Poco::Net::HTTPResponse::HTTPStatus;
    response.setStatusAndReason(static_cast<status_type>(answer.status));
    response.setContentType(answer.content_type);
    if (answer.retry_after)
        response.set("Retry-After", retry_after_text(*answer.retry_after));
    // The unread rest of a refused body would be parsed as the next request.
    if (answer.status == content_too_large ||
        answer.status == method_not_allowed)
        response.setKeepAlive(false);
    response.sendBuffer(answer.body.data(), answer.body.size());
}

rpc_response
rpc_http_handler::respond(Poco::Net::HTTPServerRequest& request) const
{
    if (request.getMethod() != Poco::Net::HTTPRequest::HTTP_POST)
        return error_response(method_not_allowed, rpc_code::unimplemented,
                              "calls are sent by POST");
    auto body = read_body(request.stream(), max_body_bytes_);
    if (!body)
        return error_response(content_too_large, rpc_code::resource_exhausted,
                              "a body has at most " +
                                  std::to_string(max_body_bytes_) + " bytes");
    return router_->handle(
        {request.getURI(), request.getContentType(),
         request.get("Authorization", ""), std::move(*body),
         steady_now() + timeout_of(request.get("Connect-Timeout-Ms", ""))});
}

} // namespace cyclamenrun

#include "caller_http_handler.hpp"

#include "caller_error.hpp"
#include "http_caller_writer.hpp"
#include "http_write_timeout.hpp"
#include "json_text.hpp"
#include "log_event.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

namespace cyclamenrun
{

namespace
{

constexpr std::string_view services_prefix = "/v1/services/";
constexpr std::string_view calls_suffix = "/calls";
constexpr std::string_view tickets_suffix = "/tickets";
constexpr std::size_t max_echoed_id_bytes = 128;

std::string header(const Poco::Net::HTTPServerRequest& request,
                   const std::string& name)
{
    return request.get(name, "");
}

caller_headers headers_of(const Poco::Net::HTTPServerRequest& request)
{
    return {header(request, "Authorization"), header(request, "X-Request-Id"),
            header(request, "X-Deadline-Ms"), header(request, "X-Delivery"),
            header(request, "X-Ticket"),      header(request, "X-Idempotent"),
            header(request, "Last-Event-ID")};
}

/** The name between `/v1/services/` and `suffix`, or empty. */
std::string service_in(std::string_view path, std::string_view suffix)
{
    if (!path.starts_with(services_prefix) || !path.ends_with(suffix) ||
        path.size() <= services_prefix.size() + suffix.size())
        return {};
    path.remove_prefix(services_prefix.size());
    path.remove_suffix(suffix.size());
    return std::string(path);
}

std::size_t header_bytes(const Poco::Net::HTTPServerRequest& request)
{
    std::size_t bytes = request.getURI().size();
    for (const auto& [name, value] : request)
        bytes += name.size() + value.size();
    return bytes;
}

/**
 * The request id in the response: the caller's own id if it is printable and
 * short, otherwise the generated one.
 */
std::string response_request_id(const std::string& caller_id,
                                const std::string& generated_id)
{
    return is_usable_id(caller_id, max_echoed_id_bytes) ? caller_id
                                                        : generated_id;
}

} // namespace

caller_http_handler::caller_http_handler(entry_core& core,
                                         caller_http_limits limits)
    : core_(core), limits_(limits)
{
}

void caller_http_handler::handleRequest(http_request& request,
                                        http_response& response)
{
    request_id_ = response_request_id(header(request, "X-Request-Id"),
                                      std::to_string(random_u64()));
    const http_write_timeout limit(request, response, limits_.write_timeout);
    outcome<void> handled;
    try {
        handled = route(request, response);
    } catch (const Poco::Exception& error) {
        // The connection broke or the caller sent too slowly, so no response
        // can be written.
        log_event(log_severity::info, log_event_name::caller_timed_out,
                  {{log_key::request_id, request_id_},
                   {log_key::detail, error.displayText()}});
        response.setKeepAlive(false);
        return;
    }
    if (handled)
        return;
    log_event(log_severity::info, log_event_name::caller_refused,
              {{log_key::request_id, request_id_},
               {log_key::reason, handled.error().reason}});
    // On a persistent connection, unread bytes of the body would be parsed as
    // the next request.
    response.setKeepAlive(false);
    http_caller_writer writer(request, response, {request_id_, {}, {}, false});
    writer.refuse(handled.error());
}

outcome<void> caller_http_handler::route(http_request& request,
                                         http_response& response)
{
    if (header_bytes(request) > limits_.max_header_bytes)
        return tl::unexpected(not_run(refusal_reason::too_large,
                                      "the request headers are too large"));
    const auto& method = request.getMethod();
    const auto path = request.getURI().substr(0, request.getURI().find('?'));
    if (method == "GET" && (path == "/healthz" || path == "/readyz")) {
        answer_health(path, response);
        return {};
    }
    const entry_core::request_count counted(core_);
    if (method == "GET" && path == "/v1/generations")
        return resume(request, response);
    if (method != "POST")
        return tl::unexpected(
            not_run(refusal_reason::bad_request,
                    "this path does not support the HTTP method"));
    if (path == "/v1/completions")
        return complete(completion_format::completions, request, response);
    if (path == "/v1/chat/completions")
        return complete(completion_format::chat, request, response);
    if (const auto service = service_in(path, calls_suffix); !service.empty())
        return call(service, request, response);
    if (const auto service = service_in(path, tickets_suffix); !service.empty())
        return ticket(service, request, response);
    return tl::unexpected(not_run(refusal_reason::bad_request, "unknown path"));
}

outcome<void> caller_http_handler::complete(completion_format format,
                                            http_request& request,
                                            http_response& response)
{
    const auto headers = headers_of(request);
    const auto caller = core_.authenticate(headers.authorization);
    if (!caller)
        return tl::unexpected(caller.error());
    const auto body = read_body(request);
    if (!body)
        return tl::unexpected(body.error());
    const auto& limits = core_.settings().limits;
    const auto parsed = parse_completion_body(format, *body, limits);
    if (!parsed)
        return tl::unexpected(parsed.error());
    const auto service = core_.service(*caller, parsed->service);
    if (!service)
        return tl::unexpected(service.error());
    auto made = make_completion_request(format, *parsed, *body, headers,
                                        **service, limits, core_.now());
    if (!made)
        return tl::unexpected(made.error());
    http_caller_writer writer(
        request, response,
        {request_id_, parsed->service, format, parsed->stream}, stopping());
    core_.serve(*caller, std::move(*made), writer);
    return {};
}

outcome<void> caller_http_handler::call(const std::string& service_name,
                                        http_request& request,
                                        http_response& response)
{
    const auto headers = headers_of(request);
    const auto caller = core_.authenticate(headers.authorization);
    if (!caller)
        return tl::unexpected(caller.error());
    const auto service = core_.service(*caller, service_name);
    if (!service)
        return tl::unexpected(service.error());
    const auto body = read_body(request);
    if (!body)
        return tl::unexpected(body.error());
    auto made = make_call_request(*body, headers, **service,
                                  core_.settings().limits, core_.now());
    if (!made)
        return tl::unexpected(made.error());
    http_caller_writer writer(
        request, response, {request_id_, service_name, {}, false}, stopping());
    core_.serve(*caller, std::move(*made), writer);
    return {};
}

outcome<void> caller_http_handler::ticket(const std::string& service_name,
                                          http_request& request,
                                          http_response& response)
{
    const auto caller = core_.authenticate(header(request, "Authorization"));
    if (!caller)
        return tl::unexpected(caller.error());
    const auto service = core_.service(*caller, service_name);
    if (!service)
        return tl::unexpected(service.error());
    const auto minted = core_.mint_ticket(*caller, **service);
    if (!minted)
        return tl::unexpected(minted.error());
    log_event(log_severity::info, log_event_name::ticket_minted,
              {{log_key::request_id, request_id_},
               {log_key::team, minted->team()},
               {log_key::upstream, minted->upstream()}});
    const auto lifetime = core_.settings().ticket_lifetime.count();
    const auto body =
        "{\"ticket\":" + json_quoted(ticket_authority::to_text(*minted)) +
        ",\"expires_in_ms\":" + std::to_string(lifetime) + "}";
    response.setContentType("application/json");
    if (core_.stopping())
        response.setKeepAlive(false);
    response.sendBuffer(body.data(), body.size());
    return {};
}

outcome<void> caller_http_handler::resume(http_request& request,
                                          http_response& response)
{
    const auto headers = headers_of(request);
    const auto caller = core_.authenticate(headers.authorization);
    if (!caller)
        return tl::unexpected(caller.error());
    auto made =
        make_resume_request(headers, core_.settings().limits, core_.now());
    if (!made)
        return tl::unexpected(made.error());
    log_event(log_severity::info, log_event_name::generation_resumed,
              {{log_key::request_id, request_id_},
               {log_key::team, caller->team->name()},
               {log_key::generation, made->resume_after->generation}});
    const auto format = request.getURI().ends_with("?shape=chat")
                            ? completion_format::chat
                            : completion_format::completions;
    http_caller_writer writer(request, response,
                              {request_id_, {}, format, true}, stopping());
    core_.serve(*caller, std::move(*made), writer);
    return {};
}

std::function<bool()> caller_http_handler::stopping() const
{
    return [this] { return core_.stopping(); };
}

outcome<std::string> caller_http_handler::read_body(http_request& request) const
{
    const auto too_large =
        not_run(refusal_reason::too_large, "the request body is too large");
    if (request.hasContentLength() &&
        static_cast<std::size_t>(request.getContentLength64()) >
            limits_.max_body_bytes)
        return tl::unexpected(too_large);
    std::string body;
    auto& stream = request.stream();
    std::array<char, 1024> buffer{};
    while (stream.good()) {
        stream.read(buffer.data(), buffer.size());
        body.append(buffer.data(), static_cast<std::size_t>(stream.gcount()));
        if (body.size() > limits_.max_body_bytes)
            return tl::unexpected(too_large);
    }
    if (request.hasContentLength() &&
        body.size() < static_cast<std::size_t>(request.getContentLength64()))
        return tl::unexpected(
            not_run(refusal_reason::bad_request,
                    "the request body is shorter than Content-Length"));
    return body;
}

void caller_http_handler::answer_health(const std::string& path,
                                        http_response& response)
{
    const bool ok = path == "/healthz" || core_.ready();
    response.setStatusAndReason(
        ok ? Poco::Net::HTTPResponse::HTTP_OK
           : Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
    response.setContentType("application/json");
    const std::string body = ok ? "{\"ok\":true}" : "{\"ok\":false}";
    response.sendBuffer(body.data(), body.size());
}

Poco::Net::HTTPRequestHandler*
caller_http_factory::createRequestHandler(const Poco::Net::HTTPServerRequest&)
{
    return new caller_http_handler(core_, limits_);
}

} // namespace cyclamenrun

#include "rpc_client.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <istream>

namespace cyclamenrun
{

namespace
{

using Poco::Net::HTTPClientSession;
using Poco::Net::HTTPRequest;

constexpr std::size_t max_response_bytes = 16U << 20U;

Poco::Timespan timespan_until(time_point deadline)
{
    const auto left = time_left(deadline, steady_now());
    return Poco::Timespan(left.count() * Poco::Timespan::MILLISECONDS);
}

rpc_error deadline_exceeded(bool may_have_run)
{
    return {rpc_code::deadline_exceeded, "no answer before the deadline",
            may_have_run};
}

/**
 * Reads the response to its end. The deadline is checked in addition to the
 * socket's timeout, since that timeout restarts with each byte received and
 * never expires for a server that sends a byte now and then.
 */
rpc_outcome<std::string> read_response(std::istream& stream,
                                       time_point deadline)
{
    constexpr std::size_t chunk_bytes = 16384;
    std::string body;
    std::string chunk(chunk_bytes, '\0');
    while (stream.read(chunk.data(), chunk_bytes) || stream.gcount() > 0) {
        body.append(chunk, 0, static_cast<std::size_t>(stream.gcount()));
        if (body.size() > max_response_bytes)
            return tl::unexpected(rpc_error{rpc_code::resource_exhausted,
                                            "the response is too large", true});
        if (steady_now() >= deadline)
            return tl::unexpected(deadline_exceeded(true));
    }
    return body;
}

/** One call, with its own HTTP session. */
class exchange
{
public:
    exchange(const ip_endpoint& server, time_point deadline)
        : session_(server.host, server.port), deadline_(deadline)
    {
        session_.setTimeout(timespan_until(deadline));
        session_.setKeepAlive(false);
    }

    rpc_outcome<std::string> run(HTTPRequest& request, const std::string& body)
    {
        try {
            return send_and_receive(request, body);
        } catch (const Poco::TimeoutException&) {
            return tl::unexpected(deadline_exceeded(sent_));
        } catch (const Poco::Exception& error) {
            return tl::unexpected(
                rpc_error{rpc_code::unavailable, error.displayText(), sent_});
        } catch (const std::exception& error) {
            return tl::unexpected(
                rpc_error{rpc_code::unavailable, error.what(), sent_});
        }
    }

private:
    rpc_outcome<std::string> send_and_receive(HTTPRequest& request,
                                              const std::string& body)
    {
        auto& out = session_.sendRequest(request);
        sent_ = true;
        out.write(body.data(), static_cast<std::streamsize>(body.size()));
        out.flush();
        Poco::Net::HTTPResponse response;
        auto& in = session_.receiveResponse(response);
        auto answer = read_response(in, deadline_);
        if (!answer)
            return answer;
        if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK)
            return tl::unexpected(
                parse_rpc_error(*answer, response.getStatus()));
        return answer;
    }

    HTTPClientSession session_;
    time_point deadline_;
    bool sent_ = false; ///< whether the server may have received the request
};

} // namespace

rpc_client::rpc_client(ip_endpoint server, secret key)
    : server_(std::move(server)), key_(std::move(key))
{
}

rpc_outcome<std::string>
rpc_client::post(std::string_view service, std::string_view method,
                 const google::protobuf::Message& request,
                 time_point deadline) const
{
    if (steady_now() >= deadline)
        return tl::unexpected(deadline_exceeded(false));
    const auto body = encode_rpc_body(rpc_encoding::proto, request);
    if (!body)
        return tl::unexpected(rpc_error{rpc_code::invalid_argument,
                                        "the request cannot be encoded"});
    const auto path = '/' + std::string(service) + '/' + std::string(method);
    HTTPRequest http(HTTPRequest::HTTP_POST, path, HTTPRequest::HTTP_1_1);
    http.setContentType(std::string(content_type_of(rpc_encoding::proto)));
    http.setContentLength(static_cast<std::streamsize>(body->size()));
    http.set("Connect-Protocol-Version", "1");
    http.set("Connect-Timeout-Ms",
             std::to_string(time_left(deadline, steady_now()).count()));
    http.set("Authorization", "Bearer " + key_.reveal());
    return exchange(server_, deadline).run(http, *body);
}

} // namespace cyclamenrun

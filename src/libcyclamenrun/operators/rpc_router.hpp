#ifndef CYCLAMENRUN_RPC_ROUTER_HPP
#define CYCLAMENRUN_RPC_ROUTER_HPP

#include "rpc_codec.hpp"
#include "rpc_error.hpp"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/** One unary call as received over HTTP. */
struct rpc_request {
    std::string path; ///< `/PACKAGE.SERVICE/METHOD`
    std::string content_type;
    std::string authorization; ///< value of the header; empty if missing
    std::string body;
    time_point deadline; ///< by which the client expects the answer
};

/** The HTTP response to a call. */
struct rpc_response {
    int status = 200;
    std::string content_type;
    std::string body;
    std::optional<milliseconds> retry_after = std::nullopt;
};

/**
 * Dispatches unary calls of the Connect protocol to their handlers, and decodes
 * and encodes the messages. Does no I/O. All methods are added before the first
 * call, and the router does not change after that, so threads may share it.
 */
class rpc_router
{
public:
    /** Returns whether the value of an `Authorization` header permits calls. */
    using authorizer = std::function<bool(std::string_view authorization)>;

    explicit rpc_router(authorizer authorize);

    template <typename Request, typename Response>
    using handler_with_deadline =
        std::function<outcome<Response>(const Request&, time_point deadline)>;
    template <typename Request, typename Response>
    using plain_handler = std::function<outcome<Response>(const Request&)>;

    /**
     * Adds a method; `service` includes the package, such as
     * `cyclamenrun.v1.QueryService`.
     */
    template <typename Request, typename Response>
    void add_method(std::string_view service, std::string_view method,
                    handler_with_deadline<Request, Response> handler);
    template <typename Request, typename Response>
    void add_method(std::string_view service, std::string_view method,
                    plain_handler<Request, Response> handler);

    rpc_response handle(const rpc_request& request) const;

private:
    using method_handler = std::function<rpc_outcome<std::string>(
        rpc_encoding encoding, const std::string& body, time_point deadline)>;

    void add_handler(std::string_view service, std::string_view method,
                     method_handler handler);
    rpc_outcome<std::string> call(const rpc_request& request,
                                  rpc_encoding encoding) const;

    static rpc_error undecodable();
    static rpc_error unencodable();

    authorizer authorize_;
    std::map<std::string, method_handler, std::less<>> handlers_;
};

template <typename Request, typename Response>
void rpc_router::add_method(std::string_view service, std::string_view method,
                            handler_with_deadline<Request, Response> handler)
{
    add_handler(service, method,
                [handler = std::move(handler)](
                    rpc_encoding encoding, const std::string& body,
                    time_point deadline) -> rpc_outcome<std::string> {
                    Request request;
                    if (!decode_rpc_body(encoding, body, request))
                        return tl::unexpected(undecodable());
                    const outcome<Response> response =
                        handler(request, deadline);
                    if (!response)
                        return tl::unexpected(to_rpc_error(response.error()));
                    auto encoded = encode_rpc_body(encoding, *response);
                    if (!encoded)
                        return tl::unexpected(unencodable());
                    return std::move(*encoded);
                });
}

template <typename Request, typename Response>
void rpc_router::add_method(std::string_view service, std::string_view method,
                            plain_handler<Request, Response> handler)
{
    add_method<Request, Response>(
        service, method,
        handler_with_deadline<Request, Response>(
            [handler = std::move(handler)](const Request& request, time_point) {
                return handler(request);
            }));
}

} // namespace cyclamenrun

#endif // CYCLAMENRUN_RPC_ROUTER_HPP

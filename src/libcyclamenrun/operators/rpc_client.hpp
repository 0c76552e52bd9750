#ifndef CYCLAMENRUN_RPC_CLIENT_HPP
#define CYCLAMENRUN_RPC_CLIENT_HPP

#include "clock.hpp"
#include "ip_endpoint.hpp"
#include "rpc_codec.hpp"
#include "rpc_error.hpp"
#include "secret.hpp"

#include <string>
#include <string_view>

namespace cyclamenrun
{

/** Makes unary calls of the Connect protocol, each on a new connection. */
class rpc_client
{
public:
    rpc_client(ip_endpoint server, secret key);

    /**
     * Makes one call, which ends by `deadline`. `service` includes the package.
     */
    template <typename Response>
    rpc_outcome<Response>
    call(std::string_view service, std::string_view method,
         const google::protobuf::Message& request, time_point deadline) const;

private:
    rpc_outcome<std::string> post(std::string_view service,
                                  std::string_view method,
                                  const google::protobuf::Message& request,
                                  time_point deadline) const;

    ip_endpoint server_;
    secret key_;
};

template <typename Response>
rpc_outcome<Response> rpc_client::call(std::string_view service,
                                       std::string_view method,
                                       const google::protobuf::Message& request,
                                       time_point deadline) const
{
    const auto body = post(service, method, request, deadline);
    if (!body)
        return tl::unexpected(body.error());
    Response response;
    if (!decode_rpc_body(rpc_encoding::proto, *body, response))
        return tl::unexpected(rpc_error{
            rpc_code::internal, "the response cannot be decoded", true});
    return response;
}

} // namespace cyclamenrun

#endif // CYCLAMENRUN_RPC_CLIENT_HPP

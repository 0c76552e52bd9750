#include "rpc_router.hpp"

namespace cyclamenrun
{

namespace
{

constexpr int unsupported_media_type = 415;

rpc_response error_response(int status, const rpc_error& error)
{
    return {status, "application/json", write_rpc_error(error),
            error.retry_after};
}

} // namespace

rpc_router::rpc_router(authorizer authorize) : authorize_(std::move(authorize))
{
}

rpc_response rpc_router::handle(const rpc_request& request) const
{
    const auto encoding = parse_rpc_encoding(request.content_type);
    if (!encoding)
        return error_response(unsupported_media_type,
                              {rpc_code::invalid_argument,
                               "Content-Type must be application/proto or "
                               "application/json"});
    auto body = call(request, *encoding);
    if (!body)
        return error_response(http_status(body.error().code), body.error());
    return {200, std::string(content_type_of(*encoding)), std::move(*body)};
}

rpc_outcome<std::string> rpc_router::call(const rpc_request& request,
                                          rpc_encoding encoding) const
{
    if (!authorize_(request.authorization))
        return tl::unexpected(
            rpc_error{rpc_code::unauthenticated,
                      "send an operator's key as Authorization: Bearer KEY"});
    const auto handler = handlers_.find(request.path);
    if (handler == handlers_.end())
        return tl::unexpected(
            rpc_error{rpc_code::unimplemented, "no such method"});
    return handler->second(encoding, request.body, request.deadline);
}

void rpc_router::add_handler(std::string_view service, std::string_view method,
                             method_handler handler)
{
    std::string path = "/";
    path += service;
    path += '/';
    path += method;
    handlers_.insert_or_assign(std::move(path), std::move(handler));
}

rpc_error rpc_router::undecodable()
{
    return {rpc_code::invalid_argument,
            "the body is not a message of this method's request type"};
}

rpc_error rpc_router::unencodable()
{
    return {rpc_code::internal, "the response cannot be encoded", true};
}

} // namespace cyclamenrun

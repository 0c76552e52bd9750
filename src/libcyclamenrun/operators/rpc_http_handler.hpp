#ifndef CYCLAMENRUN_RPC_HTTP_HANDLER_HPP
#define CYCLAMENRUN_RPC_HTTP_HANDLER_HPP

#include "rpc_router.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <memory>

namespace cyclamenrun
{

/** Serves HTTP requests by passing them to an rpc_router. */
class rpc_http_handler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit rpc_http_handler(
        std::shared_ptr<const rpc_router> router,
        std::size_t max_body_bytes = default_max_body_bytes);

    void handleRequest(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response) override;

    static constexpr std::size_t default_max_body_bytes = 1048576;

private:
    rpc_response respond(Poco::Net::HTTPServerRequest& request) const;

    std::shared_ptr<const rpc_router> router_;
    std::size_t max_body_bytes_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_RPC_HTTP_HANDLER_HPP

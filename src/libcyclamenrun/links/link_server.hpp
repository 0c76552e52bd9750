#ifndef CYCLAMENRUN_LINK_SERVER_HPP
#define CYCLAMENRUN_LINK_SERVER_HPP

#include "link_limits.hpp"
#include "link_server_connection.hpp"
#include "server_stream.hpp"

#include <Poco/Net/SocketAddress.h>
#include <memory>
#include <string>

namespace cyclamenrun
{

class link_listener;
class link_loop;

/**
 * The end of links that answers: the agent's. It serves only peers that have
 * proved the link key. Its end closes all connections and waits until no
 * callback runs any more, unless it ends on the loop's own thread.
 */
class link_server
{
public:
    /** Port 0 takes a free one. Throws Poco::Exception if it can't listen. */
    link_server(link_loop& loop, const Poco::Net::SocketAddress& address,
                std::string link_key, const link_limits& limits,
                request_handler handler);
    link_server(const link_server&) = delete;
    link_server& operator=(const link_server&) = delete;
    ~link_server();

    Poco::Net::SocketAddress address() const { return address_; }
    /** Takes no new connections; those that stand are served on. */
    void stop_accepting();

private:
    std::shared_ptr<link_reactor> reactor_;
    Poco::Net::SocketAddress address_;
    std::shared_ptr<link_listener> listener_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LINK_SERVER_HPP

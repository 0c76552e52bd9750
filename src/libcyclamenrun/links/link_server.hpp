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
 * The server end of links: an agent serves entries with it, and a monitor's
 * directory relay serves gateways. Only peers that have authenticated with the
 * link key are served. The directory relay uses an empty key, with which any
 * peer can authenticate. The destructor closes all connections and, unless it
 * runs on the loop's own thread, waits for running callbacks.
 */
class link_server
{
public:
    /** Port 0 selects a free port. Throws Poco::Exception if bind fails. */
    link_server(link_loop& loop, const Poco::Net::SocketAddress& address,
                std::string link_key, const link_limits& limits,
                request_handler handler);
    link_server(const link_server&) = delete;
    link_server& operator=(const link_server&) = delete;
    ~link_server();

    Poco::Net::SocketAddress address() const { return address_; }
    /** Accepts no new connections; existing ones are still served. */
    void stop_accepting();

private:
    std::shared_ptr<link_reactor> reactor_;
    Poco::Net::SocketAddress address_;
    std::shared_ptr<link_listener> listener_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LINK_SERVER_HPP

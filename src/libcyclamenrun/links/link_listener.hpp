#ifndef CYCLAMENRUN_LINK_LISTENER_HPP
#define CYCLAMENRUN_LINK_LISTENER_HPP

#include "link_server_connection.hpp"

#include <Poco/Net/ServerSocket.h>
#include <map>
#include <memory>

namespace cyclamenrun
{

/**
 * Accepts a server's connections and limits their number. Connections that
 * are not authenticated have a separate, small limit; when it is reached, the
 * oldest of them is closed, so that many idle connections can't lock out a
 * peer that has the key.
 */
class link_listener final : public socket_event_handler,
                            public std::enable_shared_from_this<link_listener>
{
public:
    link_listener(std::shared_ptr<link_reactor> reactor,
                  std::shared_ptr<const link_server_context> context,
                  const Poco::Net::ServerSocket& socket);

    // To be called on the loop's thread.

    void start();
    void stop_accepting();
    /** Stops accepting and closes all connections. */
    void close_all();

    void ready(bool readable, bool writable) override;
    void flush() override;
    void loop_stopping() override;

private:
    using connections =
        std::map<std::uint64_t, std::shared_ptr<link_server_connection>>;

    void accept_one();
    void pause_accepting();
    void add(const Poco::Net::StreamSocket& socket);

    std::shared_ptr<link_reactor> reactor_;
    std::shared_ptr<const link_server_context> context_;
    Poco::Net::ServerSocket socket_;
    link_reactor::watch_id watch_ = 0;
    bool accepting_ = false;
    std::uint64_t next_connection_ = 0;
    connections authenticated_;
    connections unauthenticated_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LINK_LISTENER_HPP

#ifndef CYCLAMENRUN_HTTP_SERVER_HPP
#define CYCLAMENRUN_HTTP_SERVER_HPP

#include "connection_gate.hpp"
#include "http_session.hpp"
#include "tcp_acceptor.hpp"
#include "unread_connection.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace cyclamenrun
{

/** Serves callers at one address. Runs on the reactor's thread only. */
class http_server : public std::enable_shared_from_this<http_server>
{
public:
    /** Binds and listens. Throws Poco::Exception on failure. */
    http_server(const std::shared_ptr<link_reactor>& reactor,
                const ip_endpoint& address, session_hooks hooks,
                connection_gate gate = {});
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    ip_endpoint address() const { return acceptor_->address(); }
    void start();
    void stop_accepting();
    /**
     * Closes connections on which no request is in progress or has arrived, see
     * http_session::close_if_idle().
     */
    void close_idle();
    /** Open connections, those of which nothing was read included. */
    std::size_t connections();
    /** Connections whose callers lack the last bytes of an ended answer. */
    std::size_t untaken_answers() const;
    /** Connections on which requests are in progress or may follow. */
    std::size_t kept_connections() const;
    /** Requests of which a part was received. */
    std::size_t incomplete_requests() const;
    std::size_t unread_connections() const { return unread_.size(); }

private:
    std::size_t count_sessions(bool (http_session::*matches)() const) const;
    void accept(const Poco::Net::StreamSocket& socket);
    void add(const Poco::Net::StreamSocket& socket);
    void add_unread(const Poco::Net::StreamSocket& socket);
    void read_first(std::uint64_t id);
    void close_silent();
    void check_silent_later();
    void remove_closed();

    std::shared_ptr<link_reactor> reactor_;
    std::shared_ptr<const session_hooks> hooks_;
    connection_gate gate_;
    std::shared_ptr<tcp_acceptor> acceptor_;
    /** By a number that grows with each connection. */
    std::map<std::uint64_t, std::shared_ptr<unread_connection>> unread_;
    std::uint64_t next_unread_ = 1;
    bool silent_check_pending_ = false;
    std::vector<std::weak_ptr<http_session>> sessions_;
    /** Number of sessions at which add() removes the closed ones. */
    std::size_t cleanup_threshold_ = 64;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_HTTP_SERVER_HPP

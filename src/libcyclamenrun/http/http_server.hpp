#ifndef CYCLAMENRUN_HTTP_SERVER_HPP
#define CYCLAMENRUN_HTTP_SERVER_HPP

#include "http_session.hpp"
#include "tcp_acceptor.hpp"

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
                const ip_endpoint& address, session_hooks hooks);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    ip_endpoint address() const { return acceptor_->address(); }
    void start();
    void stop_accepting();
    /** Closes connections on which no request is in progress. */
    void close_idle();
    std::size_t connections();

private:
    void add(const Poco::Net::StreamSocket& socket);
    void remove_closed();

    std::shared_ptr<link_reactor> reactor_;
    std::shared_ptr<const session_hooks> hooks_;
    std::shared_ptr<tcp_acceptor> acceptor_;
    std::vector<std::weak_ptr<http_session>> sessions_;
    /** Number of sessions at which add() removes the closed ones. */
    std::size_t cleanup_threshold_ = 64;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_HTTP_SERVER_HPP

#ifndef CYCLAMENRUN_TCP_ACCEPTOR_HPP
#define CYCLAMENRUN_TCP_ACCEPTOR_HPP

#include "connection_gate.hpp"
#include "ip_endpoint.hpp"
#include "link_reactor.hpp"
#include "socket_event_handler.hpp"
#include "spare_descriptor.hpp"

#include <Poco/Net/ServerSocket.h>
#include <functional>
#include <memory>

namespace cyclamenrun
{

/** Accepts connections on a reactor until it is stopped. */
class tcp_acceptor final : public socket_event_handler,
                           public std::enable_shared_from_this<tcp_acceptor>
{
public:
    using accept_handler =
        std::function<void(const Poco::Net::StreamSocket& socket)>;

    /** Binds and listens. Throws Poco::Exception on failure. */
    tcp_acceptor(std::shared_ptr<link_reactor> reactor,
                 const ip_endpoint& address, accept_handler on_accept);

    /** The bound address, with the port that the system chose for port 0. */
    ip_endpoint address() const;

    // All functions below must be called on the reactor's thread.

    void start();
    void stop();
    /**
     * From now on the gate decides about new connections. One for which no
     * descriptor is free is accepted by a spare one and reset, so that its
     * caller learns of it at once; without a gate it waits until one is free.
     */
    void set_gate(connection_gate gate);

    void ready(bool readable, bool writable) override;
    void flush() override {}
    void loop_stopping() override { stop(); }

private:
    bool accept_one();
    /** Returns false if no connection was taken. */
    bool reject_one();
    void pause();
    void resume_after(milliseconds delay);

    std::shared_ptr<link_reactor> reactor_;
    Poco::Net::ServerSocket socket_;
    accept_handler on_accept_;
    link_reactor::watch_id watch_ = 0;
    bool accepting_ = false;
    connection_gate gate_;
    spare_descriptor spare_; ///< for reject_one()
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_TCP_ACCEPTOR_HPP

#ifndef CYCLAMENRUN_DATAGRAM_SOCKET_HPP
#define CYCLAMENRUN_DATAGRAM_SOCKET_HPP

#include "ip_endpoint.hpp"
#include "link_reactor.hpp"
#include "socket_event_handler.hpp"

#include <Poco/Net/DatagramSocket.h>
#include <functional>
#include <memory>
#include <string_view>

namespace cyclamenrun
{

/** A UDP socket on a reactor. Drops datagrams that can't be sent at once. */
class datagram_socket final
    : public socket_event_handler,
      public std::enable_shared_from_this<datagram_socket>
{
public:
    using receive_handler =
        std::function<void(const ip_endpoint& from, std::string_view bytes)>;

    /** Binds the socket. Throws Poco::Exception on failure. */
    datagram_socket(std::shared_ptr<link_reactor> reactor,
                    const ip_endpoint& address, receive_handler on_received);

    ip_endpoint address() const;
    void start();
    void stop();
    void send(const ip_endpoint& to, std::string_view bytes);

    void ready(bool readable, bool writable) override;
    void flush() override {}
    void loop_stopping() override { stop(); }

private:
    bool receive_one();

    std::shared_ptr<link_reactor> reactor_;
    Poco::Net::DatagramSocket socket_;
    receive_handler on_received_;
    link_reactor::watch_id watch_ = 0;
    bool open_ = false;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_DATAGRAM_SOCKET_HPP

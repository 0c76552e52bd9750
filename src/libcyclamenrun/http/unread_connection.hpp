#ifndef CYCLAMENRUN_UNREAD_CONNECTION_HPP
#define CYCLAMENRUN_UNREAD_CONNECTION_HPP

#include "link_reactor.hpp"
#include "socket_event_handler.hpp"

#include <Poco/Net/StreamSocket.h>
#include <functional>
#include <memory>

namespace cyclamenrun
{

/** Closes a socket with a reset, whether or not it has unread bytes. */
void close_with_reset(int socket);

/** An accepted connection of which no byte has been read yet. */
class unread_connection final
    : public socket_event_handler,
      public std::enable_shared_from_this<unread_connection>
{
public:
    /** Awake times after which a silent connection is closed. */
    struct deadlines {
        time_point usual;
        time_point under_pressure;
    };

    /**
     * `on_readable` is called once, when bytes have arrived or the peer has
     * left; it must release or reset the connection.
     */
    using readable_handler = std::function<void(unread_connection&)>;

    unread_connection(std::shared_ptr<link_reactor> reactor,
                      const Poco::Net::StreamSocket& socket,
                      const deadlines& silent_until,
                      readable_handler on_readable);

    void start();
    /** Closes the connection with a reset. */
    void reset();
    /** Stops watching the socket and returns it. */
    Poco::Net::StreamSocket release();
    const deadlines& silent_until() const { return silent_until_; }
    /** True if bytes have arrived, which may be a whole request. */
    bool has_unread_bytes() const;

    void ready(bool readable, bool writable) override;
    void flush() override {}
    void loop_stopping() override { reset(); }

private:
    std::shared_ptr<link_reactor> reactor_;
    Poco::Net::StreamSocket socket_;
    deadlines silent_until_;
    readable_handler on_readable_;
    link_reactor::watch_id watch_ = 0;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_UNREAD_CONNECTION_HPP

#ifndef CYCLAMENRUN_TCP_CONNECTION_HPP
#define CYCLAMENRUN_TCP_CONNECTION_HPP

#include "ip_endpoint.hpp"
#include "link_reactor.hpp"
#include "link_watcher.hpp"

#include <Poco/Net/StreamSocket.h>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/** How a connection came to its end. */
enum class connection_end : std::uint8_t {
    finished,    ///< The peer ended it in good order.
    broken,      ///< Reset, or the peer's host is silent.
    unreachable, ///< It was never established: no byte reached the peer.
};

std::string_view name_of(connection_end end);

/** For how long a peer's host may stay silent before a connection is broken. */
struct connection_patience {
    milliseconds unacknowledged{3000};
    milliseconds idle_probe{1000};
};

/**
 * A TCP connection on a reactor: bytes in by hooks, bytes out by a buffer.
 * It keeps itself alive while it is open, and its hooks with it; close() lets
 * go of both and calls no hook.
 */
class tcp_connection final : public link_watcher,
                             public std::enable_shared_from_this<tcp_connection>
{
public:
    struct hooks {
        std::function<void()> connected;
        std::function<void(std::string_view)> received;
        std::function<void(connection_end)> ended;
        /** All that was sent has been handed to the system. */
        std::function<void()> drained;
    };

    /** Of an accepted connection; start() makes it serve. */
    tcp_connection(std::shared_ptr<link_reactor> reactor,
                   const Poco::Net::StreamSocket& socket, bool connecting);

    /** Starts to connect; empty if the address can't be used at all. */
    static std::shared_ptr<tcp_connection>
    connect(std::shared_ptr<link_reactor> reactor, const ip_endpoint& peer,
            const connection_patience& patience, hooks on);

    void start(hooks on);
    /** Other hooks from now on; those at work end undisturbed. */
    void replace_hooks(hooks on);
    void send(std::string_view bytes);
    /** Stops or goes on reading, so that a slow reader holds back a writer. */
    void pause_reading(bool paused);
    void close();
    /** Closes so that the peer sees a reset, never an end in good order. */
    void abort();
    /** Tells the peer that nothing more comes, once all is handed over. */
    void end_sending();

    bool open() const { return open_; }
    bool established() const { return !connecting_; }
    std::size_t unsent_bytes() const { return output_.size() - sent_; }

    void ready(bool readable, bool writable) override;
    void flush() override;
    void loop_stopping() override;

private:
    void finish_connecting();
    void read_some();
    void write_some();
    void end(connection_end how);
    void update_interest();

    std::shared_ptr<link_reactor> reactor_;
    Poco::Net::StreamSocket socket_;
    std::shared_ptr<const hooks> hooks_;
    link_reactor::watch_id watch_ = 0;
    std::string output_;
    std::size_t sent_ = 0;
    bool connecting_;
    bool open_ = false;
    bool paused_ = false;
    bool flush_wanted_ = false;
    bool end_sending_ = false;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_TCP_CONNECTION_HPP

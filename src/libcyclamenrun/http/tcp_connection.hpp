#ifndef CYCLAMENRUN_TCP_CONNECTION_HPP
#define CYCLAMENRUN_TCP_CONNECTION_HPP

#include "input_budget.hpp"
#include "ip_endpoint.hpp"
#include "link_reactor.hpp"
#include "socket_event_handler.hpp"

#include <Poco/Net/StreamSocket.h>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/** How a connection ended. */
enum class connection_end : std::uint8_t {
    finished, ///< The peer closed it in an orderly way.
    /** It was reset, the peer's host does not respond, or the reactor stops. */
    broken,
    unreachable, ///< It was never established: no byte reached the peer.
    refused,     ///< The same, because the peer's host has no listener.
};

std::string_view name_of(connection_end end);

/** True if the connection was never established. */
inline bool never_established(connection_end end)
{
    return end == connection_end::unreachable || end == connection_end::refused;
}

/**
 * How long a peer's host may stay unresponsive before the connection counts as
 * broken.
 */
struct connection_timeouts {
    milliseconds unacknowledged{3000}; ///< for sent data
    milliseconds idle_probe{1000};     ///< between keep-alive probes
};

/**
 * A TCP connection on a reactor. Received bytes go to a hook; bytes to send are
 * buffered. The connection keeps itself and its hooks alive while it is open;
 * close() releases both without calling a hook.
 */
class tcp_connection final : public socket_event_handler,
                             public std::enable_shared_from_this<tcp_connection>
{
public:
    struct hooks {
        std::function<void()> connected;
        std::function<void(std::string_view)> received;
        std::function<void(connection_end)> ended;
        /**
         * Called when the bytes not yet handed to the operating system have
         * become no more than the low-water mark.
         */
        std::function<void()> drained;
    };

    /** Wraps a connected or connecting socket. start() begins the I/O. */
    tcp_connection(std::shared_ptr<link_reactor> reactor,
                   const Poco::Net::StreamSocket& socket, bool connecting);

    /** Starts to connect. Returns nullptr if the address is unusable. */
    static std::shared_ptr<tcp_connection>
    connect(std::shared_ptr<link_reactor> reactor, const ip_endpoint& peer,
            const connection_timeouts& timeouts, hooks on);

    void start(hooks on);
    /** Replaces the hooks. A hook that is running completes. */
    void replace_hooks(hooks on);
    void send(std::string_view bytes);
    /** Pauses or resumes reading, so that flow control slows the sender. */
    void pause_reading(bool paused);
    void close();
    /** Closes with a reset, so that the peer never sees an orderly end. */
    void abort();
    /** Shuts down sending once the output buffer is empty. */
    void end_sending();
    /**
     * From now on the connection ends with a reset, whatever ends it, also the
     * end of the process, unless end_sending() was called and all output has
     * been handed to the operating system. For output that its peer takes for
     * complete if the connection ends in an orderly way.
     */
    void reset_unless_finished();

    bool open() const { return open_; }
    bool established() const { return !connecting_; }
    std::size_t unsent_bytes() const { return output_.size() - sent_; }
    /** True if bytes have arrived that were not read yet. */
    bool has_unread_bytes() const;
    /** True if the peer's host has not acknowledged all bytes. */
    bool has_unacknowledged_bytes() const;
    /** Sets the low-water mark of the output; initially none is left. */
    void set_low_water(std::size_t bytes) { low_water_ = bytes; }
    /** Counts the bytes to send in an account; null: no longer. */
    void count_output(std::shared_ptr<input_account> account);

    void ready(bool readable, bool writable) override;
    void flush() override;
    void loop_stopping() override;

private:
    void finish_connecting();
    void read_some();
    void write_some();
    void finish_sending();
    void end(connection_end reason);
    void update_interest();
    /** Removes sent bytes from the output. */
    void compact_output();

    std::shared_ptr<link_reactor> reactor_;
    Poco::Net::StreamSocket socket_;
    std::shared_ptr<const hooks> hooks_;
    link_reactor::watch_id watch_ = 0;
    std::string output_;
    std::size_t sent_ = 0;
    held_bytes output_held_;
    std::size_t low_water_ = 0;
    bool connecting_;
    bool open_ = false;
    bool paused_ = false;
    bool flush_pending_ = false;
    bool end_sending_ = false;
    bool resets_on_close_ = false;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_TCP_CONNECTION_HPP

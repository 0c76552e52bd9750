#ifndef CYCLAMENRUN_LINK_LIMITS_HPP
#define CYCLAMENRUN_LINK_LIMITS_HPP

#include "clock.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace cyclamenrun
{

/** Limits and timeouts of links between cyclamenrun processes. */
struct link_limits {
    std::size_t max_frame_bytes = std::size_t{4} << 20;
    /** Concurrent streams of a connection, including those not sent yet. */
    std::uint32_t max_streams = 4096;
    /** Authenticated connections of a server. */
    std::size_t max_connections = 2048;
    /** Connections of a server that are not authenticated yet. */
    std::size_t max_unauthenticated = 64;
    /** Bytes that a peer may send on a stream before they are consumed. */
    std::uint32_t stream_window = 16U << 10;
    /** Bytes that a peer may send on a connection in one round trip. */
    std::uint32_t connection_window = 4U << 20;
    /** Output bytes buffered until the socket accepts them. */
    std::size_t send_buffer_bytes = 256U << 10;
    /** Timeout for the connection and the handshake together. */
    milliseconds handshake_timeout{3000};
    /**
     * Path of long-polling requests. Streams to it don't make a connection
     * busy: a link with nothing but a pending heartbeat would otherwise carry
     * a PING each second.
     */
    std::string long_poll_path = "/heartbeat";
    /**
     * Time without received data after which a PING is sent while streams are
     * open.
     */
    milliseconds busy_ping_after{1000};
    /**
     * Time without received data after which a PING is sent while no stream is
     * open.
     */
    milliseconds idle_ping_after{15000};
    /** Timeout for the answer to a PING. */
    milliseconds ping_timeout{2000};
    /** Time without streams after which a client closes a connection. */
    milliseconds idle_timeout{600000};
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LINK_LIMITS_HPP

#ifndef CYCLAMENRUN_LINK_LIMITS_HPP
#define CYCLAMENRUN_LINK_LIMITS_HPP

#include "clock.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace cyclamenrun
{

/** Bounds of a link between two of our processes; sizes are in bytes. */
struct link_limits {
    std::size_t max_frame_bytes = std::size_t{4} << 20;
    /** Streams open at once on a connection, waiting ones included. */
    std::uint32_t max_streams = 4096;
    /** Connections that a server keeps. */
    std::size_t max_connections = 2048;
    /** Connections at a server that have not proved the key yet. */
    std::size_t max_unauthenticated = 64;
    /** What a peer may send on a stream before consumed() is called. */
    std::uint32_t stream_window = 16U << 10;
    /** What a peer may send on a connection in one round trip. */
    std::uint32_t connection_window = 4U << 20;
    /** What waits in the process for the socket to take it. */
    std::size_t send_buffer_bytes = 256U << 10;
    /** For a connection to be made and both sides to prove the key. */
    milliseconds handshake_time{3000};
    /**
     * An answer at this path may be long in coming, so a stream there does
     * not count as open: a link that only waits for news would otherwise
     * carry a PING a second.
     */
    std::string patient_path = "/heartbeat";
    /** Silence after which a peer with open streams gets a PING. */
    milliseconds busy_ping_after{1000};
    /** Silence after which a peer without streams gets a PING. */
    milliseconds idle_ping_after{15000};
    /** How long the answer to a PING may take. */
    milliseconds ping_time{2000};
    /** A client closes a connection that had no stream for so long. */
    milliseconds idle_time{600000};
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LINK_LIMITS_HPP

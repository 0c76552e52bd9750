#ifndef CYCLAMENRUN_LINK_FAILURE_HPP
#define CYCLAMENRUN_LINK_FAILURE_HPP

#include <cstdint>
#include <string_view>

namespace cyclamenrun
{

/** Why a stream between two cyclamenrun processes failed. */
enum class link_failure : std::uint8_t {
    connect_failed,
    unauthenticated, ///< The two ends do not have the same link key.
    connection_lost,
    reset_by_peer, ///< The peer reset the stream.
    protocol_error,
    too_large, ///< The request or a frame of the answer exceeds the limit.
    cancelled, ///< This process cancelled the stream.
    timed_out, ///< The handshake or the answer to a PING took too long.
    too_many_streams,
};

std::string_view name_of(link_failure failure);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LINK_FAILURE_HPP

#ifndef CYCLAMENRUN_LINK_FAILURE_HPP
#define CYCLAMENRUN_LINK_FAILURE_HPP

#include <cstdint>
#include <string_view>

namespace cyclamenrun
{

/** Why a stream between two cyclamenrun processes failed. */
enum class link_failure : std::uint8_t {
    connect_failed,
    unauthenticated,
    connection_lost,
    reset_by_peer,
    protocol_error,
    too_large,
    cancelled,
    timed_out,
    too_many_streams,
};

std::string_view name_of(link_failure failure);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LINK_FAILURE_HPP

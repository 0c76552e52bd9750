#ifndef CYCLAMENRUN_CLOSE_REASON_HPP
#define CYCLAMENRUN_CLOSE_REASON_HPP

#include <cstdint>
#include <string_view>

namespace cyclamenrun
{

/** Why a session closes its caller's connection. */
enum class close_reason : std::uint8_t {
    last_answer,  ///< its last answer has ended
    rejection,    ///< what the caller sent was no valid request
    idle_timeout, ///< the caller has sent nothing for too long
    stopping,     ///< the process stops, and no request is in progress
};

std::string_view name_of(close_reason reason);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CLOSE_REASON_HPP

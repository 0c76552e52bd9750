#ifndef CYCLAMENRUN_RPC_CODE_HPP
#define CYCLAMENRUN_RPC_CODE_HPP

#include "refusal.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace cyclamenrun
{

/** The error codes of the Connect protocol that this system uses. */
enum class rpc_code : std::uint8_t {
    unknown,
    invalid_argument,
    deadline_exceeded,
    not_found,
    permission_denied,
    resource_exhausted,
    failed_precondition,
    aborted,
    unimplemented,
    internal,
    unavailable,
    unauthenticated,
};

std::string_view name_of(rpc_code code);
std::optional<rpc_code> parse_rpc_code(std::string_view name);

/** Returns the HTTP status for a code. */
int http_status(rpc_code code);

/** Returns the code by which a refusal is reported to operators. */
rpc_code rpc_code_of(refusal_reason reason);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_RPC_CODE_HPP

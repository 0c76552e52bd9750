#ifndef CYCLAMENRUN_RPC_ERROR_HPP
#define CYCLAMENRUN_RPC_ERROR_HPP

#include "rpc_code.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace cyclamenrun
{

/** A call that did not end with a response. */
struct rpc_error {
    rpc_code code = rpc_code::unknown;
    std::string message;
    /** Whether the call may have taken effect nonetheless. */
    bool may_have_run = false;
    /** How long the client should wait before it tries again. */
    std::optional<milliseconds> retry_after = std::nullopt;

    bool operator==(const rpc_error&) const = default;
};

rpc_error to_rpc_error(const refusal& why);

/**
 * The body of an error answer: `{"code": ..., "message": ...,
 * "may_have_run": ...}`; the last is our own addition to Connect's members.
 */
std::string write_rpc_error(const rpc_error& error);

/** Reads such a body; `unknown` with the status for anything else. */
rpc_error parse_rpc_error(std::string_view body, int http_status);

template <typename Response>
using rpc_outcome = tl::expected<Response, rpc_error>;

} // namespace cyclamenrun

#endif // CYCLAMENRUN_RPC_ERROR_HPP

#ifndef CYCLAMENRUN_RPC_ERROR_HPP
#define CYCLAMENRUN_RPC_ERROR_HPP

#include "rpc_code.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace cyclamenrun
{

/**
 * The error of a failed call: returned by the server or detected by the client.
 */
struct rpc_error {
    rpc_code code = rpc_code::unknown;
    std::string message;
    /** Whether the call may have taken effect in spite of the error. */
    bool may_have_run = false;
    /** Time that the client should wait before it retries. */
    std::optional<milliseconds> retry_after = std::nullopt;

    bool operator==(const rpc_error&) const = default;
};

/** Returns the error by which a refusal is reported to operators. */
rpc_error to_rpc_error(const refusal& cause);

/**
 * Returns the body of an error response: `{"code": ..., "message": ...,
 * "may_have_run": ...}`. `may_have_run` extends the members that the Connect
 * protocol defines.
 */
std::string write_rpc_error(const rpc_error& error);

/**
 * Parses the body of an error response. If it cannot be parsed, the error has
 * rpc_code::unknown and a message with the HTTP status. Without a member
 * `may_have_run`, a status of 500 or more means that the call may have run.
 */
rpc_error parse_rpc_error(std::string_view body, int http_status);

template <typename Response>
using rpc_outcome = tl::expected<Response, rpc_error>;

} // namespace cyclamenrun

#endif // CYCLAMENRUN_RPC_ERROR_HPP

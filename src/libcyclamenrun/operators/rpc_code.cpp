#include "rpc_code.hpp"

#include <array>

namespace cyclamenrun
{

namespace
{

struct code_row {
    rpc_code code;
    std::string_view name;
    int http_status;
};

/** One row per code, in the order of the enum. */
constexpr std::array codes{
    code_row{rpc_code::unknown, "unknown", 500},
    code_row{rpc_code::invalid_argument, "invalid_argument", 400},
    code_row{rpc_code::deadline_exceeded, "deadline_exceeded", 504},
    code_row{rpc_code::not_found, "not_found", 404},
    code_row{rpc_code::permission_denied, "permission_denied", 403},
    code_row{rpc_code::resource_exhausted, "resource_exhausted", 429},
    code_row{rpc_code::failed_precondition, "failed_precondition", 400},
    code_row{rpc_code::aborted, "aborted", 409},
    code_row{rpc_code::unimplemented, "unimplemented", 501},
    code_row{rpc_code::internal, "internal", 500},
    code_row{rpc_code::unavailable, "unavailable", 503},
    code_row{rpc_code::unauthenticated, "unauthenticated", 401},
};

} // namespace

std::string_view name_of(rpc_code code)
{
    return codes.at(static_cast<std::size_t>(code)).name;
}

std::optional<rpc_code> parse_rpc_code(std::string_view name)
{
    for (const auto& row : codes) {
        if (row.name == name)
            return row.code;
    }
    return std::nullopt;
}

int http_status(rpc_code code)
{
    return codes.at(static_cast<std::size_t>(code)).http_status;
}

rpc_code rpc_code_of(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::bad_request:
        return rpc_code::invalid_argument;
    case refusal_reason::unauthenticated:
        return rpc_code::unauthenticated;
    case refusal_reason::forbidden:
        return rpc_code::permission_denied;
    case refusal_reason::unknown_service:
    case refusal_reason::no_upstream:
    case refusal_reason::generation_unknown:
        return rpc_code::not_found;
    case refusal_reason::too_large:
    case refusal_reason::queue_full:
    case refusal_reason::team_limit:
    case refusal_reason::answer_too_large:
        return rpc_code::resource_exhausted;
    case refusal_reason::deadline_passed:
        return rpc_code::deadline_exceeded;
    case refusal_reason::duplicate_request:
    case refusal_reason::cancelled:
        return rpc_code::aborted;
    case refusal_reason::internal:
    case refusal_reason::protocol_error:
        return rpc_code::internal;
    default:
        return rpc_code::unavailable;
    }
}

} // namespace cyclamenrun

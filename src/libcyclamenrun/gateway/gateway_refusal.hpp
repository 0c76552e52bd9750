#ifndef CYCLAMENRUN_GATEWAY_REFUSAL_HPP
#define CYCLAMENRUN_GATEWAY_REFUSAL_HPP

#include <cstdint>
#include <string_view>

namespace cyclamenrun
{

/** Why a gateway gives an answer of its own in place of an upstream's. */
enum class gateway_refusal : std::uint8_t {
    malformed_request,
    header_too_long,
    body_too_long,
    no_configuration, ///< none is known yet, or it may be out of date
    no_route,
    unknown_key,
    no_upstream,    ///< none that may be used
    upstreams_busy, ///< all have turned the request away
    overloaded,     ///< its time would run out in an upstream's queue
    share_spent,    ///< its team's part of what is short is used up
    expired_unsent, ///< its time ran out before it was sent anywhere
    expired,        ///< its time ran out at an upstream
    stopping,       ///< this process ends before it could be served whole
    upstream_lost,  ///< may have run, and its answer is lost
};

struct gateway_refusal_row {
    gateway_refusal refusal;
    std::string_view name;
    unsigned status;
    /**
     * The request has not run and never will. Statuses that say so to
     * callers are given only by rows that hold true here.
     */
    bool not_run;
    std::string_view doc;
};

const gateway_refusal_row& row_of(gateway_refusal refusal);
std::string_view name_of(gateway_refusal refusal);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_GATEWAY_REFUSAL_HPP

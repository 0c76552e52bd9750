#ifndef CYCLAMENRUN_GATEWAY_REFUSAL_HPP
#define CYCLAMENRUN_GATEWAY_REFUSAL_HPP

#include <cstdint>
#include <string_view>

namespace cyclamenrun
{

/** Reason for which the gateway answers a request itself. */
enum class gateway_refusal : std::uint8_t {
    malformed_request,
    header_too_long,
    body_too_long,
    no_configuration, ///< not received yet, or the lease on it has expired
    no_route,
    unknown_key,
    no_upstream,    ///< the service has no usable upstream
    upstreams_busy, ///< all upstreams rejected the request without running it
    overloaded,     ///< its deadline would pass in an upstream's queue
    share_spent,    ///< engines are full; its team has used its fair share
    over_limit,     ///< its share of the upstreams' limits is used
    upstreams_resting, ///< all upstreams have asked for rest
    evacuated,         ///< the failure domains of all upstreams are evacuated
    version_unknown, ///< several versions may serve; which began it is unknown
    version_gone,    ///< no other upstream of its version takes work
    poison,          ///< upstreams have crashed while they ran it
    poison_part,     ///< or requests with a part of its prompt
    expired_unsent,  ///< its deadline passed, and it has not run
    expired,         ///< its deadline passed at an upstream
    stopping,        ///< this process exits before the answer would end
    upstream_lost,   ///< may have run, and its response is lost
};

struct gateway_refusal_row {
    gateway_refusal refusal;
    std::string_view name;
    unsigned status;
    /**
     * True if the request has not run and never will. Only rows with true
     * here may use a status by which callers infer that.
     */
    bool not_run;
    std::string_view doc;
};

const gateway_refusal_row& row_of(gateway_refusal refusal);
std::string_view name_of(gateway_refusal refusal);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_GATEWAY_REFUSAL_HPP

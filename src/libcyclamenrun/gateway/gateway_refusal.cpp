#include "gateway_refusal.hpp"

#include <array>

namespace cyclamenrun
{

namespace
{

using enum gateway_refusal;

/** In the order of the enum. */
constexpr std::array rows{
    gateway_refusal_row{malformed_request, "malformed_request", 400, true,
                        "The request is malformed or ambiguous."},
    gateway_refusal_row{header_too_long, "header_too_long", 431, true,
                        "The request line and fields exceed the limit."},
    gateway_refusal_row{body_too_long, "body_too_long", 413, true,
                        "The body exceeds the limit."},
    gateway_refusal_row{
        no_configuration, "no_configuration", 503, true,
        "No configuration is loaded, or its lease has expired."},
    gateway_refusal_row{no_route, "no_route", 404, true,
                        "No route matches the host and path."},
    gateway_refusal_row{unknown_key, "unknown_key", 401, true,
                        "The key belongs to no team."},
    gateway_refusal_row{no_upstream, "no_upstream", 503, true,
                        "The service has no usable upstream."},
    gateway_refusal_row{
        upstreams_busy, "upstreams_busy", 503, true,
        "All upstreams rejected the request without running it."},
    gateway_refusal_row{overloaded, "overloaded", 503, true,
                        "The deadline would pass in an upstream's queue."},
    gateway_refusal_row{
        share_spent, "share_spent", 503, true,
        "The engines are full and the team has used its fair share."},
    gateway_refusal_row{
        over_limit, "over_limit", 503, true,
        "All upstreams have named limits or are cold, and this gateway has "
        "used its share."},
    gateway_refusal_row{upstreams_resting, "upstreams_resting", 503, true,
                        "All upstreams have asked this gateway for rest."},
    gateway_refusal_row{
        evacuated, "evacuated", 503, true,
        "The failure domains of all upstreams are evacuated by an operator."},
    gateway_refusal_row{version_unknown, "version_unknown", 503, true,
                        "Several software versions may serve, and which one "
                        "began the stream is unknown."},
    gateway_refusal_row{version_gone, "version_gone", 503, true,
                        "No other upstream of the software version that began "
                        "the stream takes work."},
    gateway_refusal_row{
        gateway_refusal::poison, "poison", 503, true,
        "Upstreams have crashed while they ran a request with this work."},
    gateway_refusal_row{
        poison_part, "poison_part", 503, true,
        "Upstreams have crashed while they ran requests with a part of this "
        "prompt."},
    gateway_refusal_row{expired_unsent, "expired_unsent", 503, true,
                        "The deadline passed, and the request has not run."},
    gateway_refusal_row{expired, "expired", 504, false,
                        "The deadline passed at an upstream."},
    gateway_refusal_row{
        stopping, "stopping", 503, true,
        "This process exits before the answer would be complete."},
    gateway_refusal_row{upstream_lost, "upstream_lost", 502, false,
                        "The request may have run; its response is lost."},
};

} // namespace

const gateway_refusal_row& row_of(gateway_refusal refusal)
{
    return rows.at(static_cast<std::size_t>(refusal));
}

std::string_view name_of(gateway_refusal refusal)
{
    return row_of(refusal).name;
}

} // namespace cyclamenrun

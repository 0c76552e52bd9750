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
                        "Not a request that can be read without doubt."},
    gateway_refusal_row{header_too_long, "header_too_long", 431, true,
                        "Request line and fields are over the limit."},
    gateway_refusal_row{body_too_long, "body_too_long", 413, true,
                        "The body is over the limit."},
    gateway_refusal_row{no_configuration, "no_configuration", 503, true,
                        "No configuration is known that is surely current."},
    gateway_refusal_row{no_route, "no_route", 404, true,
                        "No route for this host and path."},
    gateway_refusal_row{unknown_key, "unknown_key", 401, true,
                        "No team holds this key."},
    gateway_refusal_row{no_upstream, "no_upstream", 503, true,
                        "No upstream of the service may be used."},
    gateway_refusal_row{upstreams_busy, "upstreams_busy", 503, true,
                        "All upstreams have turned the request away."},
    gateway_refusal_row{overloaded, "overloaded", 503, true,
                        "Its time would run out in an upstream's queue."},
    gateway_refusal_row{share_spent, "share_spent", 503, true,
                        "Its team holds its part of engines that are full."},
    gateway_refusal_row{expired_unsent, "expired_unsent", 503, true,
                        "Its time ran out before any upstream had it."},
    gateway_refusal_row{expired, "expired", 504, false,
                        "Its time ran out at an upstream."},
    gateway_refusal_row{stopping, "stopping", 503, true,
                        "This process ends before it could be served whole."},
    gateway_refusal_row{upstream_lost, "upstream_lost", 502, false,
                        "It may have run; the answer is lost."},
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

#ifndef CYCLAMENRUN_REQUEST_ADMISSION_HPP
#define CYCLAMENRUN_REQUEST_ADMISSION_HPP

#include "clock.hpp"
#include "gateway_refusal.hpp"
#include "gateway_routes.hpp"
#include "request_facts.hpp"

#include <random>
#include <string>
#include <tl/expected.hpp>

namespace cyclamenrun
{

/** How a request that may be served is served. */
struct admitted_request {
    const gateway_route* route = nullptr; ///< of the version in use
    const gateway_team* team = nullptr;   ///< none where no key is needed
    time_point answer_by; ///< of its caller's time and the route's timeout
};

/** Longest time to an answer where neither caller nor route set one. */
inline constexpr milliseconds longest_answer{600000};

/**
 * Whether the configuration lets a request in. Without one that is surely
 * current nothing is said about routes or keys: that a process knows nothing
 * of a route is no proof that there is none.
 */
tl::expected<admitted_request, gateway_refusal>
admit_request(const gateway_routes* routes, bool lease_valid,
              const request_facts& facts, const std::string& target,
              time_point arrived);

/** Draws one of a route's services by their weights. */
std::string choose_service(const gateway_route& route, std::mt19937_64& random);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_REQUEST_ADMISSION_HPP

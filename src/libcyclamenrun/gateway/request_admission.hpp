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

/** Route, team and deadline of an admitted request. */
struct admitted_request {
    const gateway_route* route = nullptr; ///< of the current configuration
    const gateway_team* team = nullptr;   ///< null: no key is needed
    /**
     * Earliest of the caller's deadline, the route's deadline and the default
     * answer timeout.
     */
    time_point deadline;
};

/** Upper bound of the time to answer; also the default. */
inline constexpr milliseconds max_answer_timeout{600000};

/**
 * Admits or refuses a request by the configuration. Without a configuration
 * whose lease is valid, the refusal does not depend on routes or keys: a route
 * or key that is missing here may exist in a newer configuration.
 */
tl::expected<admitted_request, gateway_refusal>
admit_request(const gateway_routes* routes, bool lease_valid,
              const request_facts& facts, const std::string& target,
              time_point arrived);

/** Picks one of a route's services at random, by weight. */
std::string choose_service(const gateway_route& route, std::mt19937_64& random);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_REQUEST_ADMISSION_HPP

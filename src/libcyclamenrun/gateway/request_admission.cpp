#include "request_admission.hpp"

#include <algorithm>

namespace cyclamenrun
{

namespace
{

time_point answer_deadline(const request_facts& facts,
                           const gateway_route& route, time_point arrived)
{
    milliseconds left = max_answer_timeout;
    if (facts.time_left)
        left = std::min(left, *facts.time_left);
    if (route.timeout > milliseconds::zero())
        left = std::min(left, route.timeout);
    return arrived + left;
}

} // namespace

tl::expected<admitted_request, gateway_refusal>
admit_request(const gateway_routes* routes, bool lease_valid,
              const request_facts& facts, const std::string& target,
              time_point arrived)
{
    if (routes == nullptr || !lease_valid)
        return tl::unexpected(gateway_refusal::no_configuration);
    admitted_request admitted;
    admitted.route = routes->find(facts.host, target);
    if (admitted.route == nullptr)
        return tl::unexpected(gateway_refusal::no_route);
    if (routes->needs_key(*admitted.route)) {
        admitted.team = routes->team_of(facts.key);
        if (admitted.team == nullptr)
            return tl::unexpected(gateway_refusal::unknown_key);
    }
    admitted.deadline = answer_deadline(facts, *admitted.route, arrived);
    return admitted;
}

std::string choose_service(const gateway_route& route, std::mt19937_64& random)
{
    std::uint64_t sum = 0;
    for (const auto& choice : route.services)
        sum += choice.weight;
    if (sum == 0)
        return route.services.empty() ? std::string()
                                      : route.services.front().service;
    auto drawn = random() % sum;
    for (const auto& choice : route.services) {
        if (drawn < choice.weight)
            return choice.service;
        drawn -= choice.weight;
    }
    return route.services.back().service;
}

} // namespace cyclamenrun

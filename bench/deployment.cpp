#include "deployment.hpp"

#include <array>

namespace cyclamenrun::bench
{

namespace
{

constexpr std::size_t team_count = 10;
// Three large teams; the others share the rest about evenly.
constexpr std::array<double, team_count> shares = {
    0.22, 0.18, 0.14, 0.066, 0.066, 0.066, 0.066, 0.066, 0.065, 0.065};
constexpr std::array<std::uint32_t, team_count> weights = {3, 3, 2, 1, 1,
                                                           1, 1, 1, 1, 1};
constexpr std::array<double, team_count> long_shares = {
    0.5, 0.2, 0.7, 0.1, 0.3, 0.5, 0.7, 0.2, 0.4, 0.6};
constexpr std::array<std::uint32_t, team_count> prefixes = {16, 12, 8,  16, 12,
                                                            8,  16, 12, 8,  4};

std::vector<team_profile> teams()
{
    std::vector<team_profile> all;
    for (std::size_t i = 0; i < team_count; ++i)
        all.push_back({"team-" + std::to_string(i), shares[i], weights[i],
                       long_shares[i], prefixes[i]});
    return all;
}

deployment amianto()
{
    deployment deployment;
    deployment.name = "amianto";
    deployment.service = "redactor";
    deployment.goal = objective::stall_time;
    deployment.failure_domains = {"mendoza-a", "mendoza-b", "san-juan"};
    deployment.one_way_ms = 0.5;
    deployment.short_answer = {40, 0.8, 1'024};
    deployment.long_answer = {900, 0.7, 4'096};
    deployment.teams = teams();
    return deployment;
}

deployment guatemala()
{
    deployment deployment;
    deployment.name = "guatemala";
    deployment.service = "asistente-ia";
    deployment.goal = objective::token_latency;
    deployment.failure_domains = {"sala-zona4", "sala-mixco", "sala-petapa",
                                  "sala-amatitlan"};
    deployment.one_way_ms = 1.0;
    deployment.short_answer = {25, 0.6, 1'024};
    deployment.long_answer = {500, 0.6, 4'096};
    deployment.teams = teams();
    return deployment;
}

} // namespace

std::optional<deployment> deployment_of(std::string_view name)
{
    if (name == "amianto")
        return amianto();
    if (name == "guatemala")
        return guatemala();
    return std::nullopt;
}

} // namespace cyclamenrun::bench

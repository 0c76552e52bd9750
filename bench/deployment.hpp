#ifndef CYCLAMENRUN_BENCH_DEPLOYMENT_HPP
#define CYCLAMENRUN_BENCH_DEPLOYMENT_HPP

#include "objective.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenrun::bench
{

/** A log-normal distribution of lengths in tokens, clamped to `max`. */
struct length_distribution {
    double median;
    double sigma;
    std::uint32_t max;
};

/** The load profile of one team of a deployment. */
struct team_profile {
    std::string name;
    double share;                ///< of all requests
    std::uint32_t weight;        ///< fair share
    double long_share;           ///< share of its requests with long answers
    std::uint32_t prefix_blocks; ///< number that all its prompts share
};

/**
 * A model of one of the users' two deployments. Figures that they don't state
 * are assumed.
 */
struct deployment {
    std::string name;
    std::string service;
    objective goal;
    std::vector<std::string> failure_domains;
    std::size_t engines = 10;
    double one_way_ms = 0.5; ///< network delay between failure domains
    double deadline_s = 120; ///< of each request
    length_distribution short_answer;
    length_distribution long_answer;
    std::vector<team_profile> teams;
};

/** Returns the deployment "amianto" or "guatemala". */
std::optional<deployment> deployment_of(std::string_view name);

} // namespace cyclamenrun::bench

#endif // CYCLAMENRUN_BENCH_DEPLOYMENT_HPP

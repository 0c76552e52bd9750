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

/** A log-normal length, cut at `most`. */
struct length_law {
    double median;
    double sigma;
    std::uint32_t most;
};

/** One of those who share the deployment. */
struct team_profile {
    std::string name;
    double share;                ///< of all requests
    std::uint32_t weight;        ///< fair share
    double long_share;           ///< of its requests that are long
    std::uint32_t prefix_blocks; ///< of its prompts that are the same
};

/** One of the brief's two sites, with what was assumed where it is silent. */
struct deployment {
    std::string name;
    std::string service;
    objective goal;
    std::vector<std::string> failure_domains;
    std::size_t runners = 10;
    double one_way_ms = 0.5; ///< between failure domains
    double deadline_s = 120;
    length_law short_answer;
    length_law long_answer;
    std::vector<team_profile> teams;
};

std::optional<deployment> deployment_of(std::string_view name);

} // namespace cyclamenrun::bench

#endif // CYCLAMENRUN_BENCH_DEPLOYMENT_HPP

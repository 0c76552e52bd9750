#include "workload.hpp"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <random>
#include <sstream>

namespace cyclamenrun::bench
{

namespace
{

// The arrival rates are constant within a slot.
constexpr double slot_s = 0.1;
constexpr double heavy_factor = 10.0;
// The first blocks of every prompt hold the service's instructions.
constexpr std::uint32_t service_blocks = 4;
// Length of a prompt without its prefix blocks.
constexpr length_distribution own_prompt_length = {120, 0.7, 1'024};

/** A load factor that switches between calm and burst with a mean of 1. */
class burst_process
{
public:
    burst_process(double calm, double burst) : calm_(calm), burst_(burst) {}

    double next(std::mt19937_64& random)
    {
        const double mean_duration_s = in_burst_ ? 4.0 : 12.0;
        if (std::bernoulli_distribution(slot_s / mean_duration_s)(random))
            in_burst_ = !in_burst_;
        return in_burst_ ? burst_ : calm_;
    }

private:
    double calm_;
    double burst_;
    bool in_burst_ = false;
};

std::uint32_t draw(const length_distribution& distribution,
                   std::mt19937_64& random)
{
    std::lognormal_distribution<double> lengths(std::log(distribution.median),
                                                distribution.sigma);
    const double drawn =
        std::clamp(std::round(lengths(random)), 1.0, double(distribution.max));
    return static_cast<std::uint32_t>(drawn);
}

std::uint64_t block_hash(std::size_t team, std::uint32_t block)
{
    const std::uint64_t owner = block < service_blocks ? 0 : team + 1;
    return (owner << 32 | block) * 0x9E3779B97F4A7C15U + 1;
}

request make_request(const deployment& deployment,
                     const workload_settings& settings, std::size_t team,
                     double arrival_s, std::mt19937_64& random)
{
    const team_profile& profile = deployment.teams[team];
    request result;
    result.arrival_s = arrival_s;
    result.team = team;
    std::uint32_t blocks = profile.prefix_blocks;
    if (settings.lengths.empty()) {
        const bool is_long =
            std::bernoulli_distribution(profile.long_share)(random);
        result.prompt_tokens =
            blocks * prefix_block_tokens + draw(own_prompt_length, random);
        result.output_tokens = draw(
            is_long ? deployment.long_answer : deployment.short_answer, random);
    } else {
        const auto& row =
            settings.lengths[std::uniform_int_distribution<std::size_t>(
                0, settings.lengths.size() - 1)(random)];
        result.prompt_tokens = std::max(row.prompt_tokens, 1U);
        result.output_tokens = std::max(row.output_tokens, 1U);
        blocks = std::min(blocks, result.prompt_tokens / prefix_block_tokens);
    }
    for (std::uint32_t block = 0; block < blocks; ++block)
        result.prefix_blocks.push_back(block_hash(team, block));
    return result;
}

} // namespace

std::vector<length_pair> read_lengths(const std::string& file)
{
    std::vector<length_pair> rows;
    std::ifstream stream(file);
    for (std::string line; std::getline(stream, line);) {
        std::istringstream fields(line);
        length_pair row{};
        char comma = 0;
        if (fields >> row.prompt_tokens >> comma >> row.output_tokens)
            rows.push_back(row);
    }
    return rows;
}

std::vector<request> make_workload(const deployment& deployment,
                                   const workload_settings& settings,
                                   std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    burst_process shared_bursts(0.8, 1.6);
    std::vector<burst_process> team_bursts(deployment.teams.size(),
                                           burst_process(0.6, 2.2));
    std::vector<request> requests;
    for (double slot_start_s = 0; slot_start_s < settings.seconds;
         slot_start_s += slot_s) {
        const double shared_factor = shared_bursts.next(random);
        for (std::size_t team = 0; team < deployment.teams.size(); ++team) {
            double rate = settings.requests_per_second * shared_factor *
                          deployment.teams[team].share *
                          team_bursts[team].next(random);
            if (team == settings.heavy_team &&
                slot_start_s >= settings.heavy_from_s)
                rate *= heavy_factor;
            const int count =
                std::poisson_distribution<int>(rate * slot_s)(random);
            for (int i = 0; i < count; ++i) {
                const double offset_s =
                    std::uniform_real_distribution<double>(0, slot_s)(random);
                requests.push_back(make_request(deployment, settings, team,
                                                slot_start_s + offset_s,
                                                random));
            }
        }
    }
    std::stable_sort(requests.begin(), requests.end(),
                     [](const request& left, const request& right) {
                         return left.arrival_s < right.arrival_s;
                     });
    return requests;
}

} // namespace cyclamenrun::bench

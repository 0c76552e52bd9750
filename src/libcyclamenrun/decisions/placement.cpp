#include "placement.hpp"

#include <algorithm>
#include <vector>

namespace cyclamenrun
{

namespace
{

/**
 * What a way to another failure domain is worth in load: half a millisecond
 * and the price of its bytes against the wait for a slot.
 */
constexpr double other_domain_cost = 0.06;
/** An upstream that fails half of its requests is as bad as a full one. */
constexpr double failure_cost = 2.0;
/** Only if nothing else is left. */
constexpr double doubtful_cost = 10.0;
/** Costs that differ by less are drawn among, against herds. */
constexpr double equal_within = 0.02;

} // namespace

double placement_cost(const placement_candidate& candidate)
{
    double cost = std::max(candidate.slots_taken, candidate.memory_taken);
    cost += failure_cost * candidate.failure_rate;
    if (!candidate.same_failure_domain)
        cost += other_domain_cost;
    if (candidate.doubtful)
        cost += doubtful_cost;
    return cost;
}

std::optional<std::size_t>
choose_placement(std::span<const placement_candidate> candidates,
                 std::mt19937_64& random)
{
    if (candidates.empty())
        return std::nullopt;
    std::vector<double> costs(candidates.size());
    std::transform(candidates.begin(), candidates.end(), costs.begin(),
                   placement_cost);
    const double least = *std::min_element(costs.begin(), costs.end());
    std::vector<std::size_t> best;
    for (std::size_t i = 0; i < costs.size(); ++i) {
        if (costs[i] <= least + equal_within)
            best.push_back(i);
    }
    return best[random() % best.size()];
}

} // namespace cyclamenrun

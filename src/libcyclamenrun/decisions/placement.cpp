#include "placement.hpp"

#include <algorithm>
#include <vector>

namespace cyclamenrun
{

namespace
{

/**
 * Cost when all slots are in use: each running request adds 0.12 ms to the
 * 7 ms that a token takes.
 */
constexpr double slot_cost = 0.3;
/** Above this fraction memory is short: generations may be preempted. */
constexpr double short_memory_share = 0.8;
constexpr double short_memory_cost = 5.0;
/**
 * Spreads memory over the engines: all of an engine's memory must be copied
 * to others within the 1.5 s before it is reclaimed.
 */
constexpr double memory_cost = 0.2;
/** A failure rate of 0.5 costs as much as the shortage of a full memory. */
constexpr double failure_cost = 2.0;
/** A late stream counts as much as a late first part. */
constexpr double late_stream_cost = 1.0;
/**
 * High, so that an unreachable upstream is chosen only if all are unreachable;
 * upstream_choice then returns none.
 */
constexpr double unreachable_cost = 20.0;
constexpr double unconfirmed_cost = 10.0;
/** Smaller differences of cost count as ties, against thundering herds. */
constexpr double tie_tolerance = 0.02;

} // namespace

double placement_cost(const placement_candidate& candidate,
                      const placement_weights& weights)
{
    double cost =
        weights.wait * candidate.wait + slot_cost * candidate.slots_taken;
    cost += weights.neighbours * candidate.slots_taken;
    // If all slots are in use, a request waits for others to end.
    cost += std::max(0.0, candidate.slots_taken - 1);
    cost += short_memory_cost *
            std::max(0.0, candidate.memory_taken - short_memory_share);
    cost += memory_cost * candidate.memory_taken;
    cost += failure_cost * candidate.failure_rate;
    cost += late_stream_cost * candidate.late_streams;
    if (!candidate.same_failure_domain)
        cost += weights.other_domain;
    if (candidate.unreachable)
        cost += unreachable_cost;
    if (candidate.unconfirmed)
        cost += unconfirmed_cost;
    return cost;
}

std::optional<std::size_t>
choose_placement(std::span<const placement_candidate> candidates,
                 std::mt19937_64& random, const placement_weights& weights)
{
    if (candidates.empty())
        return std::nullopt;
    std::vector<double> costs(candidates.size());
    std::transform(candidates.begin(), candidates.end(), costs.begin(),
                   [&](const auto& candidate) {
                       return placement_cost(candidate, weights);
                   });
    const double least = *std::min_element(costs.begin(), costs.end());
    std::vector<std::size_t> best;
    for (std::size_t i = 0; i < costs.size(); ++i) {
        if (costs[i] <= least + tie_tolerance)
            best.push_back(i);
    }
    return best[random() % best.size()];
}

} // namespace cyclamenrun

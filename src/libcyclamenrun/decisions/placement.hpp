#ifndef CYCLAMENRUN_PLACEMENT_HPP
#define CYCLAMENRUN_PLACEMENT_HPP

#include <cstddef>
#include <optional>
#include <random>
#include <span>

namespace cyclamenrun
{

/** An upstream that could run a request, as it would stand with it. */
struct placement_candidate {
    /** Part of its slots that are taken, queued requests included. */
    double slots_taken = 0;
    /** Part of its memory that is taken; 0 for a plain service. */
    double memory_taken = 0;
    /** Part of the latest requests that failed there. */
    double failure_rate = 0;
    bool same_failure_domain = true;
    /** Its absence was reported, perhaps wrongly. */
    bool doubtful = false;
};

/**
 * Cost of placing a request, lower is better. Slots and memory count alike,
 * by the fuller one, since either makes a request wait.
 */
double placement_cost(const placement_candidate& candidate);

/** Index of a candidate of least cost; equal ones are drawn among. */
std::optional<std::size_t>
choose_placement(std::span<const placement_candidate> candidates,
                 std::mt19937_64& random);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_PLACEMENT_HPP

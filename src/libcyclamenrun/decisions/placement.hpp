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
    /** Expected wait for its first token, as a part of the objective. */
    double wait = 0;
    /** Part of its slots that are taken, queued requests included. */
    double slots_taken = 0;
    /** Part of its memory that is taken; 0 for a plain service. */
    double memory_taken = 0;
    /** Part of the latest requests that failed there. */
    double failure_rate = 0;
    bool same_failure_domain = true;
    /** It could not be reached just now. */
    bool unreachable = false;
    /** Its absence was reported, perhaps wrongly. */
    bool doubtful = false;
};

/** What counts for a placement besides the upstream's load. */
struct placement_weights {
    /** Of the wait for prompts that are read before. */
    double wait = 1;
    /**
     * Half a millisecond and the price of the bytes of an answer, against the
     * wait for a prompt that is read: as much as 30 ms of 1.5 s.
     */
    double other_domain = 0.02;
};

/**
 * For a generation whose memory is copied: it is admitted before all that
 * waits, but between domains the copy takes twice as long.
 */
inline constexpr placement_weights copy_weights{0, 0.6};

/** Cost of placing a request, lower is better, in parts of its objective. */
double placement_cost(const placement_candidate& candidate,
                      const placement_weights& weights = {});

/** Index of a candidate of least cost; equal ones are drawn among. */
std::optional<std::size_t>
choose_placement(std::span<const placement_candidate> candidates,
                 std::mt19937_64& random,
                 const placement_weights& weights = {});

} // namespace cyclamenrun

#endif // CYCLAMENRUN_PLACEMENT_HPP

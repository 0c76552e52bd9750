#ifndef CYCLAMENRUN_PLACEMENT_HPP
#define CYCLAMENRUN_PLACEMENT_HPP

#include <cstddef>
#include <optional>
#include <random>
#include <span>

namespace cyclamenrun
{

/** An upstream that could run a request, and its load. */
struct placement_candidate {
    /** Expected wait for the first token, as a fraction of the objective. */
    double wait = 0;
    /** Fraction of the slots in use, with queued requests and this one. */
    double slots_taken = 0;
    /** Fraction of the memory in use, with this one; 0: a plain service. */
    double memory_taken = 0;
    /** Fraction of the recent requests that failed. */
    double failure_rate = 0;
    /** Streams that are expected to become late by the request. */
    double late_streams = 0;
    bool same_failure_domain = true;
    /** The upstream could not be reached recently. */
    bool unreachable = false;
    /** The upstream was reported as removed, but this is unconfirmed. */
    bool unconfirmed = false;
};

/** Weights of the placement cost that differ between kinds of requests. */
struct placement_weights {
    /** Weight of the wait until earlier prompts have been prefilled. */
    double wait = 1;
    /**
     * Cost of another failure domain. 0.5 ms of latency and the transfer of
     * the answer's bytes count as much as a wait of 30 ms at an objective of
     * 1.5 s.
     */
    double other_domain = 0.02;
    /** Weight of the slots in use beyond their own cost. */
    double neighbours = 0;
};

/**
 * Weights for a generation whose memory is copied: the engine admits it before
 * all waiting requests, and a copy between failure domains takes twice as long.
 */
inline constexpr placement_weights copy_weights{0, 0.6};

/**
 * Weights for a request that may crash its upstream, with all that runs there.
 */
inline constexpr placement_weights solo_weights{1, 0.02, 10};

/** Cost of a placement, as a fraction of the objective; lower is better. */
double placement_cost(const placement_candidate& candidate,
                      const placement_weights& weights = {});

/**
 * Index of a candidate of least cost; ties are broken at random. Empty if there
 * are no candidates.
 */
std::optional<std::size_t>
choose_placement(std::span<const placement_candidate> candidates,
                 std::mt19937_64& random,
                 const placement_weights& weights = {});

} // namespace cyclamenrun

#endif // CYCLAMENRUN_PLACEMENT_HPP

#ifndef CYCLAMENRUN_ADMISSION_SETTINGS_HPP
#define CYCLAMENRUN_ADMISSION_SETTINGS_HPP

#include "clock.hpp"
#include "objective.hpp"

#include <cstdint>
#include <functional>
#include <optional>

namespace cyclamenrun
{

/** Identifies a work item at an agent. */
using work_id = std::uint64_t;

/**
 * Parts of the admission decision. Benchmarks disable them to measure their
 * effect.
 */
struct admission_parts {
    bool prediction = true; ///< project memory by survival curves
    bool prefix = true;     ///< count shared prompt prefixes once
    bool fair_share = true; ///< false: first come, first served
    bool own_counts = true; ///< false: only the engine's last report counts
};

/** Settings of the admission of work items at one upstream. */
struct admission_settings {
    std::uint64_t memory_tokens = 65'536; ///< the engine's memory
    std::uint32_t max_running = 64;
    std::uint32_t max_queued = 256;
    std::uint64_t max_queued_prompt_tokens = 1'000'000;
    objective goal = objective::stall_time;
    /** Accepted probability that the running answers outgrow the memory. */
    double overflow_bound = 0.02;
    /**
     * Preference for teams with short answers, so that fewer callers wait
     * while a long answer runs. A team exceeds its fair share by at most this
     * factor times the difference of the expected lengths, in tokens.
     */
    double short_first = 16.0;
    /** Prompt tokens in a prefix block. */
    std::uint32_t block_tokens = 64;
    /**
     * Bound on the uncached prompt tokens in prefill at once. Prefill slows
     * down each token of the generations that are decoding. A longer prompt
     * starts when no other is in prefill.
     */
    std::uint64_t max_prefill_tokens = 256;
    /** A work item with a longer expected wait is refused on arrival. */
    milliseconds max_wait{20'000};
    /** Bound on the teams without work here whose accounts are kept. */
    std::size_t max_teams = 512;
    admission_parts parts;
    /** Returns an answer's length if known; for comparisons in benchmarks. */
    std::function<std::optional<std::uint32_t>(work_id)> known_length;
};

/**
 * Returns the default settings, with `overflow_bound` and `short_first` set for
 * the objective; see docs/design/admission.md.
 */
admission_settings default_admission(objective goal);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ADMISSION_SETTINGS_HPP

#ifndef CYCLAMENRUN_ADMISSION_SETTINGS_HPP
#define CYCLAMENRUN_ADMISSION_SETTINGS_HPP

#include "clock.hpp"
#include "objective.hpp"

#include <cstdint>
#include <functional>
#include <optional>

namespace cyclamenrun
{

/** Names one piece of work at an agent. */
using work_id = std::uint64_t;

/** Parts of the decision that can be left out, to measure their worth. */
struct admission_parts {
    bool prediction = true; ///< look ahead by survival curves
    bool prefix = true;     ///< count shared prompt prefixes once
    bool fair_share = true; ///< else first come, first served
    bool own_counts = true; ///< else believe the engine's last report
};

struct admission_settings {
    std::uint64_t memory_tokens = 65'536; ///< of the engine
    std::uint32_t max_running = 64;
    std::uint32_t max_queued = 256;
    std::uint64_t max_queued_prompt_tokens = 1'000'000;
    objective goal = objective::stall_time;
    /** Accepted probability that running work outgrows memory. */
    double overflow_bound = 0.02;
    /**
     * Teams whose answers tend to be short go first, so that fewer callers
     * wait while a long answer runs. A team gets ahead of its fair share by at
     * most this many times the difference of expected lengths, in tokens.
     */
    double short_first = 16.0;
    /** Prompt tokens for each prefix block. */
    std::uint32_t block_tokens = 64;
    /**
     * Prompt tokens, not in the engine's cache, that it may be reading at
     * once: those decoding meanwhile wait longer for each token.
     */
    std::uint64_t max_prefill_tokens = 256;
    /** Work that would have to wait longer is refused at once. */
    milliseconds max_wait{20'000};
    /** Teams remembered beyond those with work here. */
    std::size_t max_teams = 512;
    admission_parts parts;
    /** Tells an answer's length where it is known, to compare with. */
    std::function<std::optional<std::uint32_t>(work_id)> known_length;
};

/** The measured choices for an objective; see docs/design/admission.md. */
admission_settings default_admission(objective goal);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ADMISSION_SETTINGS_HPP

#ifndef CYCLAMENRUN_GATE_SETTINGS_HPP
#define CYCLAMENRUN_GATE_SETTINGS_HPP

#include "admission.hpp"
#include "clock.hpp"

#include <cstdint>
#include <string>

namespace cyclamenrun
{

/** Settings of an agent's gate. All bounds are for the whole agent. */
struct gate_settings {
    std::string upstream;
    std::uint64_t incarnation = 0;
    time_point started_at;
    std::string link_key; ///< verifies tickets
    admission_settings admission;

    std::size_t max_sessions = 4096;
    std::size_t max_readers_per_session = 8;
    std::size_t tombstone_capacity = 65536;
    std::size_t ticket_capacity = 65536;
    std::size_t poison_capacity = 4096;
    /** Limit for one answer: the text of its tokens, or the call's body. */
    std::size_t max_answer_bytes = std::size_t{4} << 20U;
    /** Limit for all kept answers; once reached, new work is refused. */
    std::size_t max_kept_bytes = std::size_t{64} << 20U;
    /** Number of tokens kept for resumption behind the slowest reader. */
    std::uint64_t replay_window_tokens = 8192;

    /** How long work continues without a reader, for a caller that resumes. */
    milliseconds resume_grace{15'000};
    /** How long an unacknowledged answer is kept. */
    milliseconds answer_grace{60'000};
    /**
     * How long an acknowledged answer is kept: the connection between the
     * caller and the entry may still break.
     */
    milliseconds acknowledged_grace{10'000};
    /**
     * How long a tombstone is kept: longer than a stalled link can delay a
     * dispatch.
     */
    milliseconds tombstone_lifetime{600'000};
    milliseconds poison_mark_lifetime{3'600'000};
    /**
     * How long a draining gate keeps responding. Exceeds the time in which an
     * entry closes a link that does not respond (3 s) and tries to reattach
     * over a new one (10 s), so a dispatch in transit is refused and not left
     * without a response.
     */
    milliseconds drain_linger{15'000};
    /** A dispatch with more time left than this gets this deadline. */
    milliseconds max_deadline{3'600'000};
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_GATE_SETTINGS_HPP

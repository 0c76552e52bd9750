#ifndef CYCLAMENRUN_GATE_SETTINGS_HPP
#define CYCLAMENRUN_GATE_SETTINGS_HPP

#include "admission.hpp"
#include "clock.hpp"

#include <cstdint>
#include <string>

namespace cyclamenrun
{

/** How an agent's gate is set up. Bounds are per agent. */
struct gate_settings {
    std::string upstream;
    std::uint64_t incarnation = 0;
    time_point started_at;
    std::string link_key;
    admission_settings admission;

    std::size_t max_sessions = 4096;
    std::size_t max_readers_per_session = 8;
    std::size_t tombstone_capacity = 65536;
    std::size_t ticket_capacity = 65536;
    std::size_t poison_capacity = 4096;
    /** Of one answer, tokens or body. */
    std::size_t max_answer_bytes = std::size_t{4} << 20U;
    /** Over this no new work is taken until answers have been fetched. */
    std::size_t max_kept_bytes = std::size_t{64} << 20U;
    /** Tokens that stay resumable behind the slowest reader. */
    std::uint64_t replay_window_tokens = 8192;

    /** Work whose caller has gone runs on so long. */
    milliseconds resume_grace{15'000};
    /** An answer that nobody acknowledged is kept so long. */
    milliseconds answer_grace{60'000};
    /** One that was is still kept so long: the caller's own link may break. */
    milliseconds acknowledged_grace{10'000};
    /** Longer than any stalled link can hold a dispatch back. */
    milliseconds tombstone_life{600'000};
    milliseconds poison_life{3'600'000};
    /**
     * A drained gate still answers so long. Longer than an entry takes to
     * give a silent link up (3 s) and tries to come back by a new one (10 s),
     * so that a dispatch which was on its way is refused, not left open.
     */
    milliseconds drain_linger{15'000};
    milliseconds longest_deadline{3'600'000};
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_GATE_SETTINGS_HPP

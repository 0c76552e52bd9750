#ifndef CYCLAMENRUN_TESTS_FAULT_KINDS_HPP
#define CYCLAMENRUN_TESTS_FAULT_KINDS_HPP

#include "history.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace cyclamenrun::faults
{

/** Stages of a request at which a fault can be injected. */
enum class step : std::uint8_t {
    chosen,           ///< the entry is about to send the dispatch
    dispatch_sent,    ///< the dispatch is in transit
    begun,            ///< the work is admitted and passed to the upstream
    prompt_processed, ///< the prompt is processed; no token is produced yet
    first_token,
    mid_stream,
    last_token,
    effect,       ///< a call took effect; its answer is not sent yet
    answered,     ///< the caller has received the whole answer
    acknowledged, ///< the agent has received the acknowledgement
};

/** Faults of the processes that serve the work, their link, or the caller. */
enum class fault : std::uint8_t {
    upstream_dies,
    agent_dies,
    entry_dies,
    reclaimed,   ///< the platform reclaims the agent's VM at short notice
    entry_stops, ///< planned: open requests are completed
    agent_stops, ///< planned: the agent drains
    link_stalls_to_agent,
    link_stalls_to_entry,
    link_cut, ///< both directions stall for longer than the keepalive time
    answer_late,
    answer_lost,         ///< of a call that took effect
    answer_of_another,   ///< a frame of another request arrives
    answer_out_of_order, ///< two frames of the answer are swapped
    answer_with_gap,     ///< one frame of the answer is missing
    connection_stuck,    ///< messages on it are delayed; new connections work
    agent_frozen,        ///< the process is suspended for a while
    entry_frozen,
    memory_full, ///< the upstream makes no progress for a while
    caller_gone,
    caller_slow,    ///< reads nothing for a while
    caller_resends, ///< at the other entry, without waiting for its answer
};

/** A fault, and its delay after the step at which it is injected. */
struct timed_fault {
    fault what = fault::upstream_dies;
    milliseconds after{0};
};

struct step_row {
    step at;
    std::string_view name;
};

struct fault_row {
    fault what;
    std::string_view name;
};

inline constexpr std::array step_table{
    step_row{step::chosen, "chosen"},
    step_row{step::dispatch_sent, "dispatch_sent"},
    step_row{step::begun, "begun"},
    step_row{step::prompt_processed, "prompt_processed"},
    step_row{step::first_token, "first_token"},
    step_row{step::mid_stream, "mid_stream"},
    step_row{step::last_token, "last_token"},
    step_row{step::effect, "effect"},
    step_row{step::answered, "answered"},
    step_row{step::acknowledged, "acknowledged"},
};

inline constexpr std::array fault_table{
    fault_row{fault::upstream_dies, "upstream_dies"},
    fault_row{fault::agent_dies, "agent_dies"},
    fault_row{fault::entry_dies, "entry_dies"},
    fault_row{fault::reclaimed, "reclaimed"},
    fault_row{fault::entry_stops, "entry_stops"},
    fault_row{fault::agent_stops, "agent_stops"},
    fault_row{fault::link_stalls_to_agent, "link_stalls_to_agent"},
    fault_row{fault::link_stalls_to_entry, "link_stalls_to_entry"},
    fault_row{fault::link_cut, "link_cut"},
    fault_row{fault::answer_late, "answer_late"},
    fault_row{fault::answer_lost, "answer_lost"},
    fault_row{fault::answer_of_another, "answer_of_another"},
    fault_row{fault::answer_out_of_order, "answer_out_of_order"},
    fault_row{fault::answer_with_gap, "answer_with_gap"},
    fault_row{fault::connection_stuck, "connection_stuck"},
    fault_row{fault::agent_frozen, "agent_frozen"},
    fault_row{fault::entry_frozen, "entry_frozen"},
    fault_row{fault::memory_full, "memory_full"},
    fault_row{fault::caller_gone, "caller_gone"},
    fault_row{fault::caller_slow, "caller_slow"},
    fault_row{fault::caller_resends, "caller_resends"},
};

/** Whether work of this shape passes through this step. */
constexpr bool has_step(work_shape shape, step at)
{
    const bool generation =
        shape == work_shape::stream || shape == work_shape::whole;
    switch (at) {
    case step::prompt_processed:
    case step::first_token:
    case step::mid_stream:
    case step::last_token:
        return generation;
    case step::effect:
        return !generation;
    default:
        return true;
    }
}

/**
 * Whether the caller must get its answer despite the fault: the stop is
 * planned, the fault is temporary, or the caller retries at the other entry.
 */
constexpr bool preserves_answer(fault what, work_shape shape)
{
    switch (what) {
    case fault::entry_stops:
    case fault::agent_stops:
    case fault::link_stalls_to_agent:
    case fault::link_stalls_to_entry:
    case fault::answer_late:
    case fault::memory_full:
    case fault::connection_stuck:
    case fault::link_cut:
    case fault::answer_of_another:
    case fault::answer_out_of_order:
    case fault::answer_with_gap:
    case fault::agent_frozen:
    case fault::entry_frozen:
    case fault::caller_slow:
        return true;
    case fault::entry_dies:
    case fault::caller_resends:
        return shape != work_shape::plain_call;
    default:
        return false;
    }
}

inline constexpr std::array shape_names{"stream", "whole", "plain_call",
                                        "ticket_call", "idempotent_call"};

} // namespace cyclamenrun::faults

#endif // CYCLAMENRUN_TESTS_FAULT_KINDS_HPP

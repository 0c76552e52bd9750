#ifndef CYCLAMENRUN_TESTS_HISTORY_HPP
#define CYCLAMENRUN_TESTS_HISTORY_HPP

#include "refusal.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenrun::faults
{

enum class work_shape : std::uint8_t {
    stream,          ///< a generation, token by token
    whole,           ///< a generation, delivered whole
    plain_call,      ///< a non-idempotent call without a ticket
    ticket_call,     ///< a non-idempotent call with a ticket
    idempotent_call, ///< a call that may be repeated
};

enum class event_kind : std::uint8_t {
    request_sent,        ///< a caller sent a request
    run_begun,           ///< an upstream began to run a request
    run_token,           ///< an engine produced a token
    run_ended,           ///< an engine or runner completed a run
    drain_begun,         ///< an agent began to refuse new work
    token_received,      ///< a caller received a token
    end_received,        ///< a caller received the end of a complete answer
    answer_received,     ///< a caller received a runner's answer
    refused,             ///< a caller received a refusal
    caller_disconnected, ///< the caller closed its connection, or it broke
};

/** An event observed by a fake. The system under test records none. */
struct event {
    event_kind kind = event_kind::request_sent;
    std::int64_t at_ms = 0;
    /** Id of the caller's work; the same for its resends and resumes. */
    std::string work;
    /** Id of one HTTP request of the caller. */
    std::string caller_request_id;
    std::string upstream;
    std::uint64_t run = 0; ///< identifies one run at an upstream
    /** Index of a token; at the end, the number of tokens. */
    std::uint64_t index = 0;
    refusal_kind refused = refusal_kind::not_run;
    refusal_reason reason = refusal_reason::internal;
};

/** The events of one run of the simulation, and what is required of them. */
struct history {
    work_shape shape = work_shape::stream;
    /** Whether the caller must get its answer; see preserves_answer(). */
    bool answer_is_required = false;
    /** Whether the caller stays, so that each request must have an outcome. */
    bool caller_stays = true;
    std::vector<event> events;
};

/** Returns one message for each violated guarantee. */
std::vector<std::string> violations_of(const history& observed);

} // namespace cyclamenrun::faults

#endif // CYCLAMENRUN_TESTS_HISTORY_HPP

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
    exchange_begun,  ///< a caller sent a request
    run_begun,       ///< an upstream began to run a request
    run_token,       ///< an engine made a token
    run_ended,       ///< an engine or runner came to the end of a run
    drain_begun,     ///< an agent was told to take no new work
    token_received,  ///< a caller got a token
    end_received,    ///< a caller was told that its answer is complete
    answer_received, ///< a caller got a runner's answer
    refused,         ///< a caller got a refusal
    caller_left,     ///< the caller closed, or its connection broke
};

/** What a fake saw. The system under test writes nothing in here. */
struct event {
    event_kind kind = event_kind::exchange_begun;
    std::int64_t at_ms = 0;
    /** What the caller wanted; resends and resumes share it. */
    std::string work;
    /** One HTTP request of the caller. */
    std::string exchange;
    std::string upstream;
    std::uint64_t run = 0;   ///< names one run at an upstream
    std::uint64_t index = 0; ///< of a token, or how many there are
    refusal_kind refused = refusal_kind::not_run;
    refusal_reason reason = refusal_reason::internal;
};

struct history {
    work_shape shape = work_shape::stream;
    /** Only what costs nobody an answer was brought about. */
    bool nothing_is_lost = false;
    /** The caller waits to the end: each exchange must have an outcome. */
    bool caller_stays = true;
    std::vector<event> events;
};

/** One violated promise each, empty if all hold. */
std::vector<std::string> violations_of(const history& seen);

} // namespace cyclamenrun::faults

#endif // CYCLAMENRUN_TESTS_HISTORY_HPP

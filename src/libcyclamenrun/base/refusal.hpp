#ifndef CYCLAMENRUN_REFUSAL_HPP
#define CYCLAMENRUN_REFUSAL_HPP

#include "clock.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace cyclamenrun
{

/** Whether the refused work has run. */
enum class refusal_kind : std::uint8_t {
    not_run = 1,         ///< The work did not run and never will.
    outcome_unknown = 2, ///< The work may have run.
    failed = 3,          ///< The work ran and failed.
};

/**
 * Why a request was refused. The numbers are sent on links, so they must not
 * change; new ones may be added.
 */
enum class refusal_reason : std::uint8_t {
    bad_request = 1,
    unauthenticated = 2,
    forbidden = 3,
    unknown_service = 4,
    too_large = 5,
    deadline_passed = 6,
    queue_full = 7,
    team_limit = 8,
    no_upstream = 9, ///< no upstream is available
    draining = 10,
    wrong_incarnation = 11, ///< names another incarnation of the agent
    duplicate_request = 12,
    cancelled = 13,
    engine_lost = 14,   ///< the engine was lost during a generation
    engine_error = 15,  ///< the engine's answer is an error or invalid
    upstream_lost = 16, ///< the application runner was lost during a call
    agent_lost = 17,    ///< the agent was lost while it had the request
    ticket_invalid = 18,
    ticket_expired = 19,
    ticket_used = 20, ///< and the answer to its call is no longer kept
    poison = 21,      ///< two upstreams were lost while they ran the request
    generation_unknown = 22,
    resume_out_of_range = 23, ///< tokens not kept any more or not generated yet
    protocol_error = 24,      ///< a peer sent an invalid message
    not_ready = 25,           ///< the entry has no configuration, or stops
    retry_budget_spent = 26,
    reclaimed = 27, ///< the platform reclaimed the VM before the work ended
    answer_too_large = 28,
    internal = 29,
    upstream_resting = 30, ///< the upstream wants no work for a while
};

/** A typed refusal, as sent to callers and on links and written to logs. */
struct refusal {
    refusal_kind kind = refusal_kind::not_run;
    refusal_reason reason = refusal_reason::internal;
    /** Delay after which the caller may retry. */
    std::optional<milliseconds> retry_after;
    /** Human-readable; never contains prompt text or keys. */
    std::string detail;

    bool operator==(const refusal&) const = default;
};

std::string_view name_of(refusal_kind kind);
std::string_view name_of(refusal_reason reason);
std::optional<refusal_kind> refusal_kind_of(std::uint32_t number);
std::optional<refusal_reason> refusal_reason_of(std::uint32_t number);

/** Returns the HTTP status code for `reason`. */
int http_status(refusal_reason reason);

/** A value, or the refusal of the request for it. */
template <typename Value>
using outcome = tl::expected<Value, refusal>;

/** Makes a refusal of work that is known not to have run. */
inline refusal not_run(refusal_reason reason, std::string detail = {},
                       std::optional<milliseconds> retry_after = {})
{
    return {refusal_kind::not_run, reason, retry_after, std::move(detail)};
}

/** Makes a refusal of work that may have run. */
inline refusal outcome_unknown(refusal_reason reason, std::string detail = {})
{
    return {refusal_kind::outcome_unknown, reason, {}, std::move(detail)};
}

/** Makes a refusal of work that ran and failed. */
inline refusal failed(refusal_reason reason, std::string detail = {},
                      std::optional<milliseconds> retry_after = {})
{
    return {refusal_kind::failed, reason, retry_after, std::move(detail)};
}

} // namespace cyclamenrun

#endif // CYCLAMENRUN_REFUSAL_HPP

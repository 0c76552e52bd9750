#ifndef CYCLAMENRUN_RESPONSE_VERDICT_HPP
#define CYCLAMENRUN_RESPONSE_VERDICT_HPP

#include "attempt_policy.hpp"
#include "request_facts.hpp"

#include <optional>

namespace cyclamenrun
{

/** Statuses by which callers learn that a request has not run. */
bool promises_not_run(unsigned status);

/**
 * What a whole response says of its attempt; empty: it is the answer that the
 * caller gets. Guards against an answer for which no upstream vouches, and
 * against a "not run" that no upstream has promised.
 */
std::optional<attempt_result> judge_response(unsigned status,
                                             const response_facts& facts);

/** Another process is at the upstream's address. */
bool is_misdirected(unsigned status);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_RESPONSE_VERDICT_HPP

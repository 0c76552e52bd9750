#ifndef CYCLAMENRUN_RESPONSE_CLASSIFICATION_HPP
#define CYCLAMENRUN_RESPONSE_CLASSIFICATION_HPP

#include "attempt_policy.hpp"
#include "request_facts.hpp"

#include <optional>

namespace cyclamenrun
{

/** True for statuses by which callers infer that a request has not run. */
bool implies_not_run(unsigned status);

/**
 * Classifies a complete response. Returns the failure of its attempt, or empty
 * if the response is to be delivered to the caller. Guards against delivering
 * an answer that the upstream did not seal, and against a "not run" status that
 * the upstream did not confirm.
 */
std::optional<attempt_result> classify_response(unsigned status,
                                                const response_facts& facts);

/**
 * True for the status with which a process rejects a request that is meant for
 * another process at its address.
 */
bool is_misdirected(unsigned status);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_RESPONSE_CLASSIFICATION_HPP

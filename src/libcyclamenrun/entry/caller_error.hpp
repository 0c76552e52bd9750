#ifndef CYCLAMENRUN_CALLER_ERROR_HPP
#define CYCLAMENRUN_CALLER_ERROR_HPP

#include "refusal.hpp"

#include <string>

namespace cyclamenrun
{

/** Formats a refusal as the JSON error body for callers. */
std::string caller_error_body(const refusal& why,
                              const std::string& request_id);

/**
 * The value of the Retry-After header in whole seconds, rounded up, or empty if
 * the refusal has no retry time.
 */
std::string retry_after_seconds(const refusal& why);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CALLER_ERROR_HPP

#ifndef CYCLAMENRUN_CALLER_ERROR_HPP
#define CYCLAMENRUN_CALLER_ERROR_HPP

#include "refusal.hpp"

#include <string>

namespace cyclamenrun
{

/** A refusal as the JSON body that callers get. */
std::string caller_error_body(const refusal& why,
                              const std::string& request_id);

/** Whole seconds for the Retry-After header, rounded up; empty for none. */
std::string retry_after_seconds(const refusal& why);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CALLER_ERROR_HPP

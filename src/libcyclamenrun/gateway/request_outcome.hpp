#ifndef CYCLAMENRUN_REQUEST_OUTCOME_HPP
#define CYCLAMENRUN_REQUEST_OUTCOME_HPP

#include "log_event_name.hpp"
#include "log_severity.hpp"

#include <cstdint>
#include <string_view>

namespace cyclamenrun
{

/** How a request ended from the caller's point of view. */
enum class request_outcome : std::uint8_t {
    answered,
    upstream_error, ///< an upstream answered with status 500 or above
    refused,        ///< the gateway answered with a refusal
    cut,            ///< interrupted after its first part
    caller_left,
};

struct request_outcome_row {
    request_outcome outcome;
    std::string_view name;
    log_severity severity;
    log_event_name event;
};

const request_outcome_row& row_of(request_outcome outcome);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_REQUEST_OUTCOME_HPP

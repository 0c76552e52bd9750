#include "request_outcome.hpp"

#include <array>

namespace cyclamenrun
{

namespace
{

constexpr std::array rows{
    request_outcome_row{request_outcome::answered, "answered",
                        log_severity::info, log_event_name::request_finished},
    request_outcome_row{request_outcome::upstream_error, "upstream_error",
                        log_severity::warning,
                        log_event_name::request_finished},
    request_outcome_row{request_outcome::refused, "refused",
                        log_severity::warning, log_event_name::request_refused},
    request_outcome_row{request_outcome::cut, "cut", log_severity::warning,
                        log_event_name::answer_cut},
    request_outcome_row{request_outcome::caller_left, "caller_left",
                        log_severity::info, log_event_name::request_cancelled},
};

} // namespace

const request_outcome_row& row_of(request_outcome outcome)
{
    return rows.at(static_cast<std::size_t>(outcome));
}

} // namespace cyclamenrun

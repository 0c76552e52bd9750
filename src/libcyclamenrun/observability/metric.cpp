#include "metric.hpp"

#include <array>

namespace cyclamenrun
{

namespace
{

constexpr std::array rows{
    metric_row{metric::time_to_first_token, "time_to_first_token", "ms",
               "From the arrival of a request to its first token."},
    metric_row{metric::time_between_tokens, "time_between_tokens", "ms",
               "Between two writes of tokens to one caller."},
    metric_row{metric::longest_wait, "longest_wait", "ms",
               "The longest time without a token in each generation, including "
               "the time to the first token."},
    metric_row{metric::request_duration, "request_duration", "ms",
               "From a request for a generation to the end of its answer."},
    metric_row{metric::request_tokens, "request_tokens", "tokens",
               "Tokens of one complete generation."},
    metric_row{metric::call_duration, "call_duration", "ms",
               "From the arrival of a call to its answer."},
    metric_row{metric::refusals, "refusals", "refusals",
               "Requests that ended with a refusal; one sample each."},
    metric_row{metric::retries, "retries", "attempts",
               "Attempts after the first; one sample each."},
    metric_row{
        metric::resumes, "resumes", "requests",
        "Requests by which a caller resumes a generation; one sample each."},
    metric_row{metric::log_append_duration, "log_append_duration", "ms",
               "From an append to the platform's log to its answer."},
};

} // namespace

std::span<const metric_row> metric_table()
{
    return rows;
}

} // namespace cyclamenrun

#include "metric.hpp"

#include <array>

namespace cyclamenrun
{

namespace
{

constexpr std::array rows{
    metric_row{metric::time_to_first_token, "time_to_first_token", "ms",
               "From a request's arrival to its first token."},
    metric_row{metric::time_between_tokens, "time_between_tokens", "ms",
               "Between two writes of tokens to one caller."},
    metric_row{metric::longest_wait, "longest_wait", "ms",
               "Of each generation, the longest time without a token, the "
               "first included."},
    metric_row{metric::request_duration, "request_duration", "ms",
               "From a request for a generation to the end of its answer."},
    metric_row{metric::request_tokens, "request_tokens", "tokens",
               "Tokens of one complete generation."},
    metric_row{metric::call_duration, "call_duration", "ms",
               "From a call's arrival to its answer."},
    metric_row{metric::refusals, "refusals", "refusals",
               "Requests that ended with a refusal, one for each."},
    metric_row{metric::retries, "retries", "attempts",
               "Attempts after the first, one for each."},
    metric_row{metric::resumes, "resumes", "requests",
               "Callers that came back for a generation, one for each."},
    metric_row{metric::log_append_duration, "log_append_duration", "ms",
               "From an append to the platform's log to its answer."},
};

} // namespace

std::span<const metric_row> metric_table()
{
    return rows;
}

} // namespace cyclamenrun

#include "metric.hpp"

#include <array>

namespace cyclamenrun
{

namespace
{

constexpr std::array rows{
    metric_row{metric::time_to_first_token, "time_to_first_token", "ms",
               "From the request's arrival to its first token."},
    metric_row{metric::time_between_tokens, "time_between_tokens", "ms",
               "Between two tokens of one generation."},
    metric_row{metric::stall_time, "stall_time", "ms",
               "Time of a request without progress, queue included."},
    metric_row{metric::queue_wait, "queue_wait", "ms",
               "Time in the agent's queue before the upstream gets it."},
    metric_row{metric::request_duration, "request_duration", "ms",
               "From a request's arrival to the end of its answer."},
    metric_row{metric::request_tokens, "request_tokens", "tokens",
               "Tokens of one finished generation."},
    metric_row{metric::call_duration, "call_duration", "ms",
               "From a call's arrival to its answer."},
    metric_row{metric::dispatch_attempts, "dispatch_attempts", "attempts",
               "Attempts that one request took."},
    metric_row{metric::refusals, "refusals", "refusals",
               "Requests that were refused, one for each."},
    metric_row{metric::retries, "retries", "retries",
               "Attempts after the first, one for each."},
    metric_row{metric::resumes, "resumes", "resumes",
               "Generations that a caller came back for, one for each."},
    metric_row{metric::preemptions, "preemptions", "preemptions",
               "Running generations put off by the engine or the agent."},
    metric_row{metric::prefix_tokens_held, "prefix_tokens_held", "tokens",
               "Prompt tokens thought to be in the engine's prefix cache."},
    metric_row{metric::engine_memory_share, "engine_memory_share", "share",
               "Part of the engine's memory in use, by the agent's count."},
    metric_row{metric::heartbeat_round_trip, "heartbeat_round_trip", "ms",
               "From sending a heartbeat to its reply."},
    metric_row{metric::log_append_duration, "log_append_duration", "ms",
               "From an append to the platform's log to its answer."},
    metric_row{metric::configuration_lag, "configuration_lag", "ms",
               "From a change's acceptance to its being in force here."},
};

} // namespace

std::span<const metric_row> metric_table()
{
    return rows;
}

} // namespace cyclamenrun

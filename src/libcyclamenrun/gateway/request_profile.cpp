#include "request_profile.hpp"

#include "attempt_policy.hpp"

#include <algorithm>

namespace cyclamenrun
{

namespace
{

/**
 * Maximum time to establish a connection. Delays between failure domains are
 * about a millisecond; the rest allows for busy peers. No byte of the request
 * was sent before the timeout, so another upstream can be tried within the
 * objective.
 */
constexpr milliseconds max_connect_timeout{250};
constexpr milliseconds min_connect_timeout{40};
/** Notice assumed if a reclaim states no time; the shortest is 1.5 s. */
constexpr milliseconds default_notice{1500};
/** A step of an engine that runs a few requests takes 7 to 8 ms. */
constexpr milliseconds time_per_token{8};
/** An engine with all slots in use takes up to 10 ms per token. */
constexpr milliseconds slow_time_per_token{10};

/** Time in which a short queue empties. */
constexpr milliseconds default_retry_delay{200};
/** Bounds of a delay that is derived from the objective. */
constexpr milliseconds min_retry_delay{20};
constexpr milliseconds max_retry_delay{1000};
/** Upper bound of a delay that is derived from the time to room. */
constexpr milliseconds max_queue_delay{5000};

} // namespace

request_profile::request_profile(std::shared_ptr<const gateway_routes> routes,
                                 const admitted_request& admitted,
                                 const request_facts& facts)
    : routes_(std::move(routes)), route_(admitted.route),
      prompt_tokens_(facts.prompt_tokens),
      max_output_tokens_(facts.output_token_limit),
      team_(admitted.team == nullptr ? std::string() : admitted.team->name)
{
}

const engine_traits* request_profile::engine() const
{
    const auto* service = routes_ ? routes_->service(service_) : nullptr;
    return service != nullptr && service->engine ? &*service->engine : nullptr;
}

placement_request
request_profile::make_placement_request(const std::string& from_domain) const
{
    placement_request request;
    request.prompt_tokens = prompt_tokens_;
    request.output_tokens = max_output_tokens_ / 2;
    request.objective = route_->objective;
    request.engine_memory_tokens =
        engine() != nullptr ? engine()->memory_tokens : 0;
    request.from_domain = from_domain;
    return request;
}

start_request request_profile::make_start_request(const std::string& id,
                                                  time_point arrived) const
{
    start_request request;
    request.id = id;
    request.team = team_;
    request.prompt_tokens = prompt_tokens_;
    request.output_tokens = max_output_tokens_ / 2;
    request.first_due = arrived + route_->objective;
    if (route_->shape == answer_shape::event_stream)
        request.gap_target = route_->gap_target;
    return request;
}

milliseconds request_profile::connect_timeout() const
{
    return std::clamp(route_->objective / 2, min_connect_timeout,
                      max_connect_timeout);
}

bool request_profile::is_unresumable_stream() const
{
    return route_->shape == answer_shape::event_stream && !route_->resumable;
}

milliseconds request_profile::longest_duration() const
{
    return max_output_tokens_ * slow_time_per_token;
}

std::uint64_t request_profile::memory_tokens(milliseconds running) const
{
    const auto made = static_cast<std::uint64_t>(running / time_per_token);
    return prompt_tokens_ + std::min(made, max_output_tokens_);
}

bool request_profile::outlives(std::optional<time_point> engine_leaves_at,
                               time_point now) const
{
    const auto notice =
        engine_leaves_at ? time_left(*engine_leaves_at, now) : default_notice;
    return longest_duration() > notice;
}

bool request_profile::allows_backup() const
{
    return engine() != nullptr && engine()->backups && is_unresumable_stream();
}

milliseconds
request_profile::retry_after(std::optional<milliseconds> time_to_room,
                             std::mt19937_64& random) const
{
    if (time_to_room)
        return jitter_retry_delay(
            std::clamp(*time_to_room, default_retry_delay, max_queue_delay),
            random);
    if (route_ == nullptr)
        return default_retry_delay;
    // A quarter of the objective leaves time for a retry within it.
    return std::clamp(route_->objective / 4, min_retry_delay, max_retry_delay);
}

} // namespace cyclamenrun

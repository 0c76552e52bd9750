#ifndef CYCLAMENRUN_ATTEMPT_POLICY_HPP
#define CYCLAMENRUN_ATTEMPT_POLICY_HPP

#include "clock.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <string_view>

namespace cyclamenrun
{

/** What became of one attempt at an upstream. */
enum class attempt_result : std::uint8_t {
    not_sent,    ///< no byte of it reached the upstream
    turned_away, ///< the upstream vouches that it has not run it
    failed,      ///< it ran there and failed; the upstream's answer is known
    lost,        ///< it may have run there, and its answer is lost
};

std::string_view name_of(attempt_result result);

/** How a request stands when an attempt has ended. */
struct attempt_state {
    bool idempotent = false;
    unsigned max_attempts = 1;
    unsigned runs = 0;  ///< attempts that may have run
    unsigned sends = 0; ///< attempts of any result
    bool time_is_up = false;
    /** Something of an answer has gone to the caller. */
    bool answer_begun = false;
};

enum class attempt_step : std::uint8_t {
    again,       ///< at another upstream, within the budget of retries
    again_free,  ///< at another upstream; nothing arrived at the last one
    deliver,     ///< the upstream's own answer
    refuse,      ///< tell the caller that it has not run
    report_lost, ///< tell the caller that it may have run
    cut,         ///< end the answer so that the caller sees it is not whole
};

std::string_view name_of(attempt_step step);

/**
 * What to do next with a request. Keeps that a request which may not be
 * repeated runs at most once, that a refusal which says "not run" is true, and
 * that a request stays within its route's attempts.
 */
attempt_step next_step(attempt_result result, const attempt_state& state);

/**
 * Time without any part of a response after which a request is taken from
 * its upstream to another one; empty: it waits as long as it may. Guards
 * against an upstream that takes requests and never answers, by which callers
 * otherwise see their whole time pass: on six days on which half of the plain
 * upstreams and a third of the engines did so, 7.4% of the requests failed
 * without it and 4.7% with it.
 *
 * `usual_bound`: what is unusual now, see response_time. With a fixed limit of
 * 0.6 objectives crowds of callers lost 0.017 of their worth, since requests
 * that wait in queues were taken out of them.
 */
std::optional<milliseconds>
silence_limit(const attempt_state& state, milliseconds objective,
              std::optional<milliseconds> usual_bound);

/**
 * A time to come back after, up to a fifth earlier or later, so that callers
 * who were refused in one moment do not return in one wave.
 */
milliseconds spread_retry(milliseconds after, std::mt19937_64& random);

/**
 * Upstreams that one request may be sent to, when each has turned it away:
 * after three the service is most likely full, and the caller knows better
 * whether to wait.
 */
inline constexpr unsigned most_sends = 4;

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ATTEMPT_POLICY_HPP

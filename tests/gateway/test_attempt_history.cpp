#include "attempt_history.hpp"

#include "response_classification.hpp"

#include <gtest/gtest.h>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenrun
{
namespace
{

/** How the attempt before the last one ended. */
enum class earlier_end { none, not_sent, turned_away, failed, lost };

/** How a request goes on after an attempt. */
enum class way_on {
    new_run,        ///< at another upstream
    from_backup,    ///< its engine was lost, a backup continues
    moved,          ///< its engine leaves, and has ended its stream
    source_dropped, ///< its engine leaves, and was left by the gateway
    back_to_source, ///< the destination turned it away
    by_the_caller,  ///< who resumes the stream with a new request
};

/** How the request then ends. */
enum class last_end {
    turned_away,
    not_sent,
    lost,
    failed,
    out_of_budget,
    status_429,
    status_503,
    status_408,
    status_421,
    convicted,
    lease_expired,
    over_limit,
    upstreams_busy,
    no_upstream,
    overloaded,
    share_spent,
    stopping,
    deadline_waiting,
    deadline_at_upstream,
};

struct named_end {
    earlier_end end;
    const char* name;
    bool may_have_run;
};

constexpr named_end earlier_ends[]{
    {earlier_end::none, "none", false},
    {earlier_end::not_sent, "not_sent", false},
    {earlier_end::turned_away, "turned_away", false},
    {earlier_end::failed, "failed", true},
    {earlier_end::lost, "lost", true},
};

struct named_way {
    way_on way;
    const char* name;
    bool may_have_run; ///< at an engine that the request leaves by it
};

constexpr named_way ways_on[]{
    {way_on::new_run, "new_run", false},
    {way_on::from_backup, "from_backup", true},
    {way_on::moved, "moved", true},
    {way_on::source_dropped, "source_dropped", true},
    {way_on::back_to_source, "back_to_source", true},
    {way_on::by_the_caller, "by_the_caller", false},
};

struct named_last_end {
    last_end end;
    const char* name;
    bool may_have_run; ///< in the last attempt, or while it lasts
    /** Refusal that the gateway wants to send; empty: an attempt ends. */
    std::optional<gateway_refusal> refusal;
};

constexpr named_last_end last_ends[]{
    {last_end::turned_away, "turned_away", false, {}},
    {last_end::not_sent, "not_sent", false, {}},
    {last_end::lost, "lost", true, {}},
    {last_end::failed, "failed", true, {}},
    {last_end::out_of_budget, "out_of_budget", false, {}},
    {last_end::status_429, "status_429", true, {}},
    {last_end::status_503, "status_503", true, {}},
    {last_end::status_408, "status_408", true, {}},
    {last_end::status_421, "status_421", false, {}},
    {last_end::convicted, "convicted", false, gateway_refusal::poison},
    {last_end::lease_expired, "lease_expired", false,
     gateway_refusal::no_configuration},
    {last_end::over_limit, "over_limit", false, gateway_refusal::over_limit},
    {last_end::upstreams_busy, "upstreams_busy", false,
     gateway_refusal::upstreams_busy},
    {last_end::no_upstream, "no_upstream", false, gateway_refusal::no_upstream},
    {last_end::overloaded, "overloaded", false, gateway_refusal::overloaded},
    {last_end::share_spent, "share_spent", false, gateway_refusal::share_spent},
    {last_end::stopping, "stopping", false, gateway_refusal::stopping},
    {last_end::deadline_waiting, "deadline_waiting", false,
     gateway_refusal::expired_unsent},
    {last_end::deadline_at_upstream, "deadline_at_upstream", true,
     gateway_refusal::expired_unsent},
};

void record(attempt_history& history, std::optional<attempt_result> result)
{
    history.begin_attempt();
    history.end_attempt(result);
}

void record_earlier(attempt_history& history, earlier_end end)
{
    switch (end) {
    case earlier_end::none:
        return;
    case earlier_end::not_sent:
        record(history, attempt_result::not_sent);
        return;
    case earlier_end::turned_away:
        record(history, attempt_result::turned_away);
        return;
    case earlier_end::failed:
        record(history, attempt_result::failed);
        return;
    case earlier_end::lost:
        record(history, attempt_result::lost);
        return;
    }
}

void record_way(attempt_history& history, way_on way)
{
    switch (way) {
    case way_on::new_run:
        return;
    case way_on::from_backup:
    case way_on::moved:
    case way_on::source_dropped:
        record(history, attempt_result::lost);
        return;
    case way_on::back_to_source:
        record(history, attempt_result::lost);
        record(history, attempt_result::turned_away);
        return;
    case way_on::by_the_caller:
        history = attempt_history();
        return;
    }
}

/** Result of an attempt that ends with this status, sealed by its upstream. */
attempt_result result_of_status(unsigned status)
{
    response_facts facts;
    facts.sealed = true;
    return classify_response(status, facts).value_or(attempt_result::failed);
}

attempt_result result_of(last_end end)
{
    switch (end) {
    case last_end::not_sent:
        return attempt_result::not_sent;
    case last_end::lost:
        return attempt_result::lost;
    case last_end::failed:
        return attempt_result::failed;
    case last_end::status_429:
        return result_of_status(429);
    case last_end::status_503:
        return result_of_status(503);
    case last_end::status_408:
        return result_of_status(408);
    case last_end::status_421:
        return result_of_status(421);
    default:
        return attempt_result::turned_away;
    }
}

/** What the caller gets, or that the request is sent again. */
struct verdict {
    bool again = false;
    bool delivered = false; ///< the upstream's own answer
    gateway_refusal refusal = gateway_refusal::upstream_lost;
};

verdict verdict_of(const attempt_history& history, attempt_step step)
{
    switch (step) {
    case attempt_step::again:
    case attempt_step::again_free:
        return {true, false, {}};
    case attempt_step::deliver:
        return {false, true, {}};
    case attempt_step::refuse:
        return {false, false,
                history.truthful(gateway_refusal::upstreams_busy)};
    case attempt_step::report_lost:
    case attempt_step::cut:
        return {};
    }
    return {};
}

verdict end_request(attempt_history& history, const named_last_end& last)
{
    if (last.refusal) {
        if (last.end == last_end::deadline_at_upstream)
            history.begin_attempt();
        return {false, false, history.truthful(*last.refusal)};
    }
    const auto result = result_of(last.end);
    record(history, result);
    auto step = history.step_after(result, {});
    if (last.end == last_end::out_of_budget && step == attempt_step::again)
        step = step_without_retry(result);
    return verdict_of(history, step);
}

/** A request that went one of the ways, and its end. */
struct ended_request {
    verdict given;
    bool idempotent = false;
    bool may_have_run = false;
    named_last_end last;
};

/** Calls `check` for each way in which a request may go and end. */
template <typename Check>
void for_all_pairs(Check check)
{
    for (const bool idempotent : {false, true})
        for (const auto& earlier : earlier_ends)
            for (const auto& way : ways_on)
                for (const auto& last : last_ends) {
                    SCOPED_TRACE(std::string(idempotent ? "" : "not ") +
                                 "idempotent, " + earlier.name + ", " +
                                 way.name + ", " + last.name);
                    attempt_history history;
                    history.set_rules({idempotent, 2});
                    record_earlier(history, earlier.end);
                    record_way(history, way.way);
                    const bool new_request = way.way == way_on::by_the_caller;
                    const bool ran_before =
                        (earlier.may_have_run && !new_request) ||
                        way.may_have_run;
                    check(ended_request{end_request(history, last), idempotent,
                                        ran_before || last.may_have_run, last});
                }
}

// Guards against a "not run" answer to a request that may have run.
TEST(attempt_history, not_run_is_said_only_of_what_has_not_run)
{
    for_all_pairs([](const ended_request& ended) {
        const auto& given = ended.given;
        if (given.again || given.delivered)
            return;
        EXPECT_EQ(row_of(given.refusal).not_run, !ended.may_have_run)
            << name_of(given.refusal);
    });
}

// Guards against a second run of a request that must not repeat.
TEST(attempt_history, what_may_have_run_is_sent_again_only_if_idempotent)
{
    for_all_pairs([](const ended_request& ended) {
        EXPECT_FALSE(ended.given.again && !ended.idempotent &&
                     ended.may_have_run);
    });
}

// Guards against an upstream's own 429, 503, 408 or 421 that reaches the
// caller.
TEST(attempt_history, no_status_of_an_upstream_says_not_run)
{
    for_all_pairs([](const ended_request& ended) {
        EXPECT_TRUE(!ended.given.delivered ||
                    ended.last.end == last_end::failed);
    });
}

// Guards against a refusal that withholds from the caller that it may retry.
TEST(attempt_history, what_has_not_run_is_refused_as_wanted)
{
    for_all_pairs([](const ended_request& ended) {
        EXPECT_TRUE(!ended.last.refusal || ended.may_have_run ||
                    ended.given.refusal == *ended.last.refusal);
    });
}

// Guards against runs on more upstreams than the route allows: a run that was
// continued elsewhere counts.
TEST(attempt_history, counts_continued_runs_against_the_routes_attempts)
{
    attempt_history history;
    history.set_rules({true, 2});
    record(history, attempt_result::lost);
    EXPECT_EQ(history.step_after(attempt_result::lost, {}),
              attempt_step::again);
    record(history, attempt_result::turned_away);
    EXPECT_EQ(history.step_after(attempt_result::turned_away, {}),
              attempt_step::again);
    record(history, attempt_result::lost);
    EXPECT_EQ(history.step_after(attempt_result::lost, {}),
              attempt_step::report_lost);
}

TEST(attempt_history, a_request_may_run_while_it_is_at_an_upstream)
{
    attempt_history history;
    EXPECT_FALSE(history.may_have_run());
    history.begin_attempt();
    EXPECT_TRUE(history.may_have_run());
    history.end_attempt(attempt_result::turned_away);
    EXPECT_FALSE(history.may_have_run());
}

} // namespace
} // namespace cyclamenrun

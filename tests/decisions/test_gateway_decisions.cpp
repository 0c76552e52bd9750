#include "attempt_policy.hpp"
#include "copy_turns.hpp"
#include "placement.hpp"
#include "response_time.hpp"
#include "shared_retry_budget.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <set>

namespace cyclamenrun
{
namespace
{

time_point at(int ms)
{
    return time_point(milliseconds(ms));
}

// Guards against running a request twice: a write runs and its response is
// lost. A retry would write twice, and so would the caller's own retry after a
// "not run" refusal.
TEST(attempt_policy, retries_what_may_have_run_only_if_idempotent)
{
    attempt_state state;
    state.runs = 1;
    state.sends = 1;
    state.max_attempts = 3;
    EXPECT_EQ(next_step(attempt_result::lost, state),
              attempt_step::report_lost);
    EXPECT_EQ(next_step(attempt_result::failed, state), attempt_step::deliver);
    state.idempotent = true;
    EXPECT_EQ(next_step(attempt_result::lost, state), attempt_step::again);
    EXPECT_EQ(next_step(attempt_result::failed, state), attempt_step::again);
}

TEST(attempt_policy, keeps_to_the_attempts_of_the_route)
{
    attempt_state state;
    state.idempotent = true;
    state.max_attempts = 2;
    state.runs = 2;
    state.sends = 2;
    EXPECT_EQ(next_step(attempt_result::lost, state),
              attempt_step::report_lost);
    EXPECT_EQ(next_step(attempt_result::failed, state), attempt_step::deliver);
}

TEST(attempt_policy, retries_what_has_not_run)
{
    attempt_state state;
    state.sends = 1;
    EXPECT_EQ(next_step(attempt_result::turned_away, state),
              attempt_step::again);
    EXPECT_EQ(next_step(attempt_result::not_sent, state),
              attempt_step::again_free);
    state.sends = max_sends;
    EXPECT_EQ(next_step(attempt_result::turned_away, state),
              attempt_step::refuse);
}

// Guards against a false "not run": an idempotent call has run once and failed,
// and the second upstream turns it away.
TEST(attempt_policy, refuses_as_not_run_only_what_has_never_run)
{
    attempt_state state;
    state.idempotent = true;
    state.max_attempts = 2;
    state.runs = 1;
    state.sends = max_sends;
    EXPECT_EQ(next_step(attempt_result::turned_away, state),
              attempt_step::report_lost);
}

TEST(attempt_policy, cuts_an_answer_that_has_begun)
{
    attempt_state state;
    state.idempotent = true;
    state.max_attempts = 9;
    state.answer_begun = true;
    for (const auto result : {attempt_result::lost, attempt_result::failed,
                              attempt_result::turned_away})
        EXPECT_EQ(next_step(result, state), attempt_step::cut);
}

boot_time boot_at(int ms)
{
    return boot_time(milliseconds(ms));
}

/** Reserves and spends one repeat. */
bool try_repeat(shared_retry_budget& budget, int ms,
                repeat_urgency urgency = repeat_urgency::deferrable)
{
    return budget.try_reserve("s", urgency, boot_at(ms)) &&
           budget.spend("s", boot_at(ms));
}

TEST(shared_retry_budget, divides_the_fixed_part_among_gateways)
{
    retry_budget_settings settings;
    settings.share = 0;
    settings.extra = 100;
    shared_retry_budget budget(settings, boot_at(0));
    budget.set_gateway_count(10, boot_at(0));
    int taken = 0;
    while (try_repeat(budget, 20'000))
        ++taken;
    // 4.5 of the 100 / 10 repeats are kept for bursts.
    EXPECT_EQ(taken, 4);
    taken = 0;
    for (int ms = 20'000; ms < 120'000; ms += 100)
        if (try_repeat(budget, ms))
            ++taken;
    // 4.5 more flow in over each of ten windows.
    EXPECT_NEAR(taken, 45, 1);
}

// Guards against a process that spends again what its predecessor has spent.
TEST(shared_retry_budget, is_empty_when_a_process_starts)
{
    shared_retry_budget budget({}, boot_at(5'000));
    EXPECT_FALSE(try_repeat(budget, 5'000));
    for (int i = 0; i < 5; ++i)
        budget.record_request("s", boot_at(5'000));
    EXPECT_TRUE(try_repeat(budget, 5'000));
    EXPECT_FALSE(try_repeat(budget, 5'000));
}

// Guards against retries that double the load on the remaining upstreams when
// others fail: in any window the retries stay within the share and the fixed
// part.
TEST(shared_retry_budget, holds_in_any_window)
{
    retry_budget_settings settings;
    settings.share = 0.2;
    settings.extra = 80;
    settings.window = milliseconds(1000);
    shared_retry_budget budget(settings, boot_at(0));
    std::vector<int> retries;
    for (int ms = 0; ms < 10000; ms += 10) {
        budget.record_request("s", boot_at(ms));
        if (try_repeat(budget, ms))
            retries.push_back(ms);
    }
    for (const int from : retries) {
        const auto in_window =
            std::count_if(retries.begin(), retries.end(), [&](int ms) {
                return ms >= from && ms <= from + 1000;
            });
        EXPECT_LE(in_window, 0.2 * 100 + 80.0 / 8);
    }
    EXPECT_GT(retries.size(), 150U);
}

// Guards against a repeat that two requests hold, and against one that is lost
// when its request ends.
TEST(shared_retry_budget, keeps_what_is_reserved)
{
    retry_budget_settings settings;
    settings.share = 1;
    settings.extra = 80;
    shared_retry_budget budget(settings, boot_at(0));
    budget.record_request("s", boot_at(0));
    EXPECT_TRUE(budget.try_reserve("s", repeat_urgency::urgent, boot_at(0)));
    EXPECT_FALSE(try_repeat(budget, 0));
    budget.release("s");
    EXPECT_TRUE(budget.try_reserve("s", repeat_urgency::urgent, boot_at(0)));
    EXPECT_TRUE(budget.spend("s", boot_at(0)));
    EXPECT_FALSE(try_repeat(budget, 0));
}

// Guards against generations that are lost while requests that can return are
// retried.
TEST(shared_retry_budget, gives_generations_precedence)
{
    retry_budget_settings settings;
    settings.extra = 0;
    settings.share = 0;
    shared_retry_budget budget(settings, boot_at(0));
    EXPECT_FALSE(try_repeat(budget, 0, repeat_urgency::urgent));
    budget.borrow("s", 1, boot_at(0), boot_at(0));
    EXPECT_FALSE(try_repeat(budget, 100));
    EXPECT_TRUE(try_repeat(budget, 100, repeat_urgency::urgent));
}

// Guards against a shortage that is not seen after many others.
TEST(shared_retry_budget, forgets_refusals)
{
    retry_budget_settings settings;
    settings.extra = 0;
    shared_retry_budget budget(settings, boot_at(0));
    for (int i = 0; i < 1000; ++i)
        EXPECT_FALSE(try_repeat(budget, 0, repeat_urgency::urgent));
    EXPECT_GT(budget.shortage("s", boot_at(0)), 0U);
    EXPECT_EQ(budget.shortage("s", boot_at(1000)), 0U);
    EXPECT_FALSE(try_repeat(budget, 1000, repeat_urgency::urgent));
    EXPECT_EQ(budget.shortage("s", boot_at(1000)), 1U);
}

// Guards against a loan that is spent after the lender has earned again.
TEST(shared_retry_budget, loans_expire)
{
    retry_budget_settings settings;
    settings.share = 0;
    settings.extra = 80;
    shared_retry_budget lender(settings, boot_at(0));
    settings.extra = 0;
    shared_retry_budget borrower(settings, boot_at(0));
    const auto lent = lender.lend("s", 2, boot_at(20'000));
    EXPECT_DOUBLE_EQ(lent, 2);
    EXPECT_NEAR(lender.remaining("s", boot_at(20'999)), 2.5, 0.01);
    borrower.borrow("s", lent, boot_at(20'000), boot_at(20'010));
    EXPECT_TRUE(try_repeat(borrower, 20'999));
    EXPECT_FALSE(try_repeat(borrower, 21'000));
    EXPECT_GT(lender.remaining("s", boot_at(21'500)), 2.6);
}

TEST(placement, avoids_waits_short_memory_and_failures)
{
    placement_candidate good;
    auto waits = good;
    waits.wait = 0.5;
    auto full = good;
    full.memory_taken = 1.0;
    auto fails = good;
    fails.failure_rate = 0.5;
    auto unconfirmed = good;
    unconfirmed.unconfirmed = true;
    for (const auto& bad : {waits, full, fails, unconfirmed})
        EXPECT_LT(placement_cost(good), placement_cost(bad));
    // An unconfirmed upstream is better than none.
    std::mt19937_64 random(1);
    EXPECT_EQ(choose_placement(std::vector{unconfirmed}, random), 0U);
    EXPECT_FALSE(choose_placement(std::vector<placement_candidate>(), random));
}

// An engine admits a copied generation before all waiting requests, but a copy
// to another failure domain takes longer.
TEST(placement, a_copy_counts_the_distance_and_no_wait)
{
    placement_candidate near;
    near.wait = 0.5;
    placement_candidate far;
    far.same_failure_domain = false;
    EXPECT_GT(placement_cost(near), placement_cost(far));
    EXPECT_LT(placement_cost(near, copy_weights),
              placement_cost(far, copy_weights));
}

TEST(placement, breaks_ties_at_random)
{
    const std::vector<placement_candidate> same(4);
    std::mt19937_64 random(3);
    std::vector<int> drawn(4);
    for (int i = 0; i < 400; ++i)
        ++drawn[*choose_placement(same, random)];
    for (const int count : drawn)
        EXPECT_GT(count, 60);
}

// Guards against memory that piles up on one engine: if that engine is
// reclaimed, not all of its memory can be copied in time. With equal waits the
// engine with less memory in use is preferred.
TEST(placement, spreads_memory_over_engines)
{
    placement_candidate full;
    full.memory_taken = 0.6;
    placement_candidate empty;
    empty.memory_taken = 0.3;
    EXPECT_GT(placement_cost(full), placement_cost(empty) + 0.05);
}

TEST(copy_turns, of_equal_size_are_granted_in_the_order_of_requests)
{
    copy_turns turns;
    EXPECT_TRUE(turns.request_turn({"a", "g1"}, at(0)));
    EXPECT_FALSE(turns.request_turn({"b", "g2"}, at(0)));
    EXPECT_FALSE(turns.request_turn({"c", "g1"}, at(0)));
    turns.end("a");
    EXPECT_EQ(turns.holder(at(10))->id, "b");
    EXPECT_TRUE(turns.request_turn({"b", "g2"}, at(10)));
    turns.end("b");
    turns.end("c");
    EXPECT_FALSE(turns.holder(at(20)));
}

// Guards against copying few large generations of an engine that is removed:
// if the notice is too short for all, the smallest first save the most streams.
TEST(copy_turns, are_granted_to_the_smallest_first)
{
    copy_turns turns;
    const time_point now{std::chrono::hours(1)};
    EXPECT_TRUE(turns.request_turn({"first", "g", 5000}, now));
    EXPECT_FALSE(turns.request_turn({"large", "g", 9000}, now));
    EXPECT_FALSE(turns.request_turn({"small", "h", 1000}, now));
    EXPECT_FALSE(turns.request_turn({"middle", "h", 4000}, now));
    for (const auto* id : {"first", "small", "middle", "large"}) {
        EXPECT_EQ(turns.holder(now)->id, id);
        turns.end(id);
    }
    EXPECT_FALSE(turns.holder(now));
}

// Guards against a turn whose gateway crashed: the others must not wait until
// the engine is removed.
TEST(copy_turns, end_after_their_duration_limit)
{
    copy_turns turns;
    ASSERT_TRUE(turns.request_turn({"a", "g1"}, at(0)));
    const int end = static_cast<int>(copy_turn_duration_limit.count());
    EXPECT_FALSE(turns.request_turn({"b", "g2"}, at(end - 1)));
    EXPECT_TRUE(turns.request_turn({"b", "g2"}, at(end)));
}

TEST(copy_turns, drop_requests_that_are_not_repeated)
{
    copy_turns turns;
    ASSERT_TRUE(turns.request_turn({"a", "g1"}, at(0)));
    ASSERT_FALSE(turns.request_turn({"b", "g2"}, at(0)));
    ASSERT_FALSE(turns.request_turn({"c", "g3"}, at(250)));
    turns.end("a");
    EXPECT_EQ(turns.holder(at(301))->id, "c");
}

TEST(copy_turns, are_bounded)
{
    copy_turns turns;
    for (std::size_t i = 0; i < 2 * max_copy_turns; ++i)
        turns.request_turn({std::to_string(i), "g"}, at(0));
    for (std::size_t i = 0; i < max_copy_turns; ++i)
        turns.end(std::to_string(i));
    EXPECT_FALSE(turns.holder(at(0)));
}

TEST(response_timeouts, apply_to_requests_that_may_run_once_more)
{
    constexpr milliseconds objective{100};
    attempt_state state;
    state.idempotent = true;
    state.max_attempts = 2;
    state.sends = 1;
    EXPECT_EQ(attempt_response_timeout(state, objective, {}),
              milliseconds(200));
    EXPECT_FALSE(attempt_response_timeout(state, milliseconds(0), {}));
    state.runs = 1;
    EXPECT_FALSE(attempt_response_timeout(state, objective, {}));
    state.runs = 0;
    state.idempotent = false;
    EXPECT_FALSE(attempt_response_timeout(state, objective, {}));
}

// Guards against timeouts under load: if all upstreams have queues, responses
// take long, and taking requests out of the queues makes the queues longer.
TEST(response_timeouts, follow_the_usual_response_time)
{
    constexpr milliseconds objective{100};
    attempt_state state;
    state.idempotent = true;
    state.max_attempts = 2;
    EXPECT_EQ(attempt_response_timeout(state, objective, milliseconds(20)),
              milliseconds(60));
    EXPECT_EQ(attempt_response_timeout(state, objective, milliseconds(130)),
              milliseconds(130));
    EXPECT_EQ(attempt_response_timeout(state, objective, milliseconds(900)),
              milliseconds(200));
}

// Guards against a thundering herd: a hundred callers that are refused at the
// same time and retry at the same time would fill the queue again.
TEST(retry_delays, are_spread_against_thundering_herds)
{
    std::mt19937_64 random(1);
    std::set<milliseconds> times;
    for (int i = 0; i < 100; ++i) {
        const auto after = jitter_retry_delay(milliseconds(1000), random);
        EXPECT_GE(after, milliseconds(800));
        EXPECT_LE(after, milliseconds(1200));
        times.insert(after);
    }
    EXPECT_GT(times.size(), 50U);
}

TEST(response_time, bounds_the_usual_response_time)
{
    response_times times;
    EXPECT_FALSE(times.usual_bound("a"));
    for (int i = 0; i < 100; ++i)
        times.add("a", milliseconds(i % 2 == 0 ? 20 : 30));
    EXPECT_GE(times.usual_bound("a"), milliseconds(40));
    EXPECT_LE(times.usual_bound("a"), milliseconds(50));
    // The service becomes slow.
    for (int i = 0; i < 40; ++i)
        times.add("a", milliseconds(200));
    EXPECT_GE(times.usual_bound("a"), milliseconds(195));
    EXPECT_FALSE(times.usual_bound("b"));
}

} // namespace
} // namespace cyclamenrun

#include "retry_budget.hpp"
#include "team_limiter.hpp"

#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

using namespace std::chrono_literals;

const time_point start = time_point{} + 1h;

// Guards against retries that overload the remaining engines: if half of the
// engines are lost and each of their requests is sent three times, the other
// half gets a multiple of its load and fails as well.
TEST(retry_budget, retries_stay_a_share_of_requests)
{
    retry_budget budget(0.1, 5, 100);
    int retried = 0;
    for (int i = 0; i < 1'000; ++i) {
        budget.record_request("survey");
        while (budget.try_retry("survey"))
            ++retried;
    }
    EXPECT_NEAR(retried, 105, 1);
    EXPECT_TRUE(budget.try_retry("another"));
    for (int i = 0; i < 1'000; ++i)
        budget.record_request(std::to_string(i));
    EXPECT_LE(budget.size(), 100U);
}

TEST(team_limiter, entries_together_keep_the_limit_on_requests_at_once)
{
    const team_limits limits{9, 0};
    int started = 0;
    for (int entry = 0; entry < 3; ++entry) {
        team_limiter limiter(10);
        limiter.set_entries(3);
        while (limiter.admit("survey", limits, 10, start))
            ++started;
    }
    EXPECT_EQ(started, 9);

    team_limiter limiter(10);
    limiter.set_entries(100); // the share is at least one
    EXPECT_TRUE(limiter.admit("survey", limits, 10, start));
    EXPECT_FALSE(limiter.admit("survey", limits, 10, start));
    limiter.record_end("survey");
    EXPECT_TRUE(limiter.admit("survey", limits, 10, start));
}

// The length of an answer is not known in advance, so a team may overdraw its
// token bucket.
TEST(team_limiter, retry_after_is_the_time_until_the_debt_is_paid_off)
{
    team_limiter limiter(10);
    // The bucket holds the tokens of 10 s: 1000 tokens.
    const team_limits limits{0, 100};
    ASSERT_TRUE(limiter.admit("survey", limits, 200, start));
    limiter.record_output("survey", 1'800); // 1000 in debt
    const auto refused = limiter.admit("survey", limits, 1, start);
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().reason, refusal_reason::team_limit);
    EXPECT_EQ(refused.error().retry_after, 10s);
    EXPECT_FALSE(limiter.admit("survey", limits, 1, start + 9'900ms));
    EXPECT_TRUE(limiter.admit("survey", limits, 1, start + 10'100ms));
}

TEST(team_limiter, bounds_the_number_of_teams_and_keeps_debts)
{
    team_limiter limiter(2);
    const team_limits limits{0, 100};
    ASSERT_TRUE(limiter.admit("debtor", limits, 5'000, start));
    limiter.record_end("debtor");
    for (int i = 0; i < 10; ++i) {
        const std::string team = "team-" + std::to_string(i);
        ASSERT_TRUE(limiter.admit(team, limits, 1, start));
        limiter.record_end(team);
    }
    EXPECT_LE(limiter.size(), 2U);
    EXPECT_FALSE(limiter.admit("debtor", limits, 1, start + 1s));
}

} // namespace
} // namespace cyclamenrun

#include "loss_judge.hpp"

#include <gtest/gtest.h>

namespace cyclamenrun::testing_support
{
namespace
{

class loss_judge : public testing::Test
{
protected:
    loss_verdict verdict() const { return judge_loss(request, life); }

    time_point start = steady_now();
    process_life life{milliseconds(6000), std::nullopt, std::nullopt};
    /** Passed on, and cut off after a second. */
    broken_request request{start, start + milliseconds(1000),
                           start + milliseconds(10000), true};
};

TEST_F(loss_judge, finds_a_request_that_was_passed_on)
{
    EXPECT_EQ(verdict(), loss_verdict::lost);
    request.ended = start + milliseconds(10);
    EXPECT_EQ(verdict(), loss_verdict::lost);
}

TEST_F(loss_judge, finds_a_request_that_was_held_and_not_passed_on)
{
    request.reached_upstream = false;
    EXPECT_EQ(verdict(), loss_verdict::lost);
    request.ended = start + milliseconds(199);
    EXPECT_EQ(verdict(), loss_verdict::crossed_close);
}

TEST_F(loss_judge, excuses_only_what_a_kill_has_ended)
{
    life.killed = start + milliseconds(1000);
    EXPECT_EQ(verdict(), loss_verdict::process_killed);
    life.killed = start + milliseconds(3000);
    EXPECT_EQ(verdict(), loss_verdict::lost);
}

TEST_F(loss_judge, excuses_in_a_stop_only_what_runs_until_its_end)
{
    life.stop_sent = start - milliseconds(2000);
    request.upstream_at_work = true;
    request.ended = start + milliseconds(2900);
    EXPECT_EQ(verdict(), loss_verdict::lost);
    request.ended = start + milliseconds(3000);
    EXPECT_EQ(verdict(), loss_verdict::outlasted_stop);
    request.upstream_at_work = false;
    EXPECT_EQ(verdict(), loss_verdict::lost);
}

TEST_F(loss_judge, does_not_excuse_what_was_sent_late_in_a_stop)
{
    life.stop_sent = start - milliseconds(3100);
    request.upstream_at_work = true;
    request.ended = start + milliseconds(2900);
    EXPECT_EQ(verdict(), loss_verdict::lost);
}

TEST_F(loss_judge, excuses_what_its_upstream_or_its_deadline_ends)
{
    request.upstream_broke_off = true;
    EXPECT_EQ(verdict(), loss_verdict::broken_off);
    request.upstream_broke_off = false;
    request.deadline = request.ended;
    EXPECT_EQ(verdict(), loss_verdict::past_deadline);
}

} // namespace
} // namespace cyclamenrun::testing_support

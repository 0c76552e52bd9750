#include "gateway_count_history.hpp"

#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

using std::chrono::minutes;
using std::chrono::seconds;

boot_time at(boot_clock::duration time)
{
    return boot_time(time);
}

TEST(gateway_count_history, forgets_a_number_in_the_tenth_minute_after_it)
{
    gateway_count_history history;
    history.record(30, at(seconds(1)));
    history.record(12, at(minutes(5)));
    EXPECT_EQ(history.largest(at(minutes(9))), 30U);
    EXPECT_EQ(history.largest(at(minutes(11))), 12U);
    EXPECT_EQ(history.largest(at(minutes(16))), 0U);
}

// Guards against the number of now in place of the largest that is left.
TEST(gateway_count_history, remembers_the_next_largest)
{
    gateway_count_history history;
    history.record(30, at(minutes(1)));
    history.record(20, at(minutes(6)));
    for (int s = 360; s < 690; ++s)
        history.record(10, at(seconds(s)));
    EXPECT_EQ(history.largest(at(seconds(690))), 20U);
    const auto told = history.counts(at(seconds(690)));
    ASSERT_EQ(told.size(), 2U);
    EXPECT_EQ(told[0].count, 20U);
    EXPECT_EQ(told[1].count, 10U);
}

// Guards against a VM whose clock is younger than what others remember.
TEST(gateway_count_history, learns_what_was_counted_before_the_boot)
{
    gateway_count_history history;
    history.record(3, at(seconds(2)));
    EXPECT_TRUE(history.learn({30, seconds(90)}, at(seconds(2))));
    EXPECT_EQ(history.largest(at(seconds(3))), 30U);
    EXPECT_EQ(history.largest(at(minutes(9))), 3U);
}

TEST(gateway_count_history, ignores_what_is_no_news_absurd_or_old)
{
    gateway_count_history history;
    history.record(10, at(minutes(20)));
    EXPECT_FALSE(history.learn({10, seconds(5)}, at(minutes(20))));
    EXPECT_FALSE(history.learn({10, seconds(90)}, at(minutes(20))));
    EXPECT_FALSE(history.learn({1'000'000, seconds(5)}, at(minutes(20))));
    EXPECT_FALSE(history.learn({11, minutes(11)}, at(minutes(20))));
    EXPECT_EQ(history.largest(at(minutes(20))), 10U);
}

// Guards against processes that remind each other of gateways that left.
TEST(gateway_count_history, is_forgotten_by_processes_that_tell_each_other)
{
    gateway_count_history left;
    gateway_count_history right;
    left.record(30, at(minutes(1)));
    const milliseconds transit(50);
    for (auto now = at(minutes(1)); now < at(minutes(13)); now += 2 * transit) {
        left.record(5, now);
        right.record(5, now);
        const auto from_left = left.counts(now);
        const auto from_right = right.counts(now);
        for (const auto& told : from_left)
            right.learn(told, now + transit);
        for (const auto& told : from_right)
            left.learn(told, now + transit);
    }
    EXPECT_EQ(left.largest(at(minutes(13))), 5U);
    EXPECT_EQ(right.largest(at(minutes(13))), 5U);
}

} // namespace
} // namespace cyclamenrun

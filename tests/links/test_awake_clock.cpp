#include "awake_clock.hpp"
#include "link_reactor.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

time_point at(int ms)
{
    return time_point(milliseconds(ms));
}

TEST(awake_clock, counts_planned_waits_and_short_work)
{
    awake_clock awake(at(0));
    awake.begin_wait(at(5), at(105));
    awake.end_wait(at(105));
    awake.begin_wait(at(110), at(1110));
    awake.end_wait(at(400));
    EXPECT_EQ(awake.now(), at(400));
    EXPECT_EQ(awake.missed(), duration::zero());
}

// Guards against a timeout on others that counts a pause of this process.
TEST(awake_clock, does_not_count_a_pause)
{
    awake_clock awake(at(0));
    awake.begin_wait(at(0), at(100));
    awake.end_wait(at(3000));
    EXPECT_EQ(awake.missed(), milliseconds(2900) - awake_clock::tolerance);
    // Paused while it worked, as a process that gets no processor.
    awake.begin_wait(at(3500), at(3600));
    EXPECT_EQ(awake.missed(), milliseconds(3400) - 2 * awake_clock::tolerance);
    EXPECT_EQ(awake.now() + awake.missed(), at(3500));
}

TEST(awake_clock, limits_waits_by_the_time_left)
{
    EXPECT_EQ(awake_clock::longest_wait(milliseconds(160)), milliseconds(40));
    EXPECT_EQ(awake_clock::longest_wait(milliseconds(8)), milliseconds(5));
    EXPECT_EQ(awake_clock::longest_wait(milliseconds(2)), milliseconds(2));
    EXPECT_EQ(awake_clock::longest_wait(milliseconds(-3)), milliseconds(0));
    EXPECT_EQ(awake_clock::longest_wait(milliseconds(60000)),
              milliseconds(200));
}

// Guards against a blocked thread that gives up on another process because of a
// pause of its own.
TEST(awake_clock, lets_blocking_waits_go_on_after_a_pause)
{
    auto now = at(0);
    awake_clock awake(now);
    int waits = 0;
    const bool ended = wait_awake(
        awake, [&] { return now; }, at(1000),
        [&](milliseconds part) {
            ++waits;
            now += waits == 2 ? milliseconds(5000) : part;
            return false;
        });
    EXPECT_FALSE(ended);
    EXPECT_GT(now, at(5500));
    EXPECT_GE(awake.now(), at(1000));
}

// Guards against a timeout that fires because a pause was hidden in a wait.
TEST(awake_clock, holds_the_timeouts_of_an_event_loop)
{
    auto now = at(0);
    link_reactor loop([&] { return now; });
    loop.step();
    bool fired = false;
    loop.post_timeout(at(160), [&] { fired = true; });
    const auto run_until = [&](time_point end) {
        while (now < end) {
            now = std::min(loop.next_iteration().value_or(end), end);
            loop.step();
        }
    };
    loop.step();
    run_until(at(100));
    now = at(900);
    loop.step();
    EXPECT_FALSE(fired);
    run_until(at(1000));
    EXPECT_TRUE(fired);
    loop.stop();
    loop.run();
}

} // namespace
} // namespace cyclamenrun

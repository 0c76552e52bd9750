#include "link_keepalive.hpp"

#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

using namespace std::chrono_literals;

// PING after 1 s (busy) or 15 s (idle); the answer is due within 2 s.
const link_limits limits;

TEST(link_keepalive, a_peer_that_answers_is_kept)
{
    time_point now;
    link_keepalive keepalive(limits, now);
    for (int i = 0; i < 10; ++i) {
        now += 1s;
        ASSERT_EQ(keepalive.step(now, true), keepalive_step::ping);
        now += 1999ms;
        EXPECT_EQ(keepalive.step(now, true), keepalive_step::wait);
        keepalive.received(now);
    }
}

TEST(link_keepalive, a_peer_times_out_when_its_answer_is_overdue)
{
    const time_point start;
    link_keepalive keepalive(limits, start);
    ASSERT_EQ(keepalive.step(start + 1s, true), keepalive_step::ping);
    EXPECT_EQ(keepalive.next_check(true), start + 3s);
    EXPECT_EQ(keepalive.step(start + 3s, true), keepalive_step::disconnect);
}

TEST(link_keepalive, an_idle_connection_is_checked_rarely)
{
    const time_point start;
    link_keepalive keepalive(limits, start);
    EXPECT_EQ(keepalive.next_check(false), start + 15s);
    EXPECT_EQ(keepalive.step(start + 14s, false), keepalive_step::wait);
    EXPECT_EQ(keepalive.next_check(true), start + 1s);
}

} // namespace
} // namespace cyclamenrun

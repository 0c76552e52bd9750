#include "upstream_notices.hpp"

#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

constexpr time_point start{std::chrono::hours(1)};

upstream_notice rest_of(milliseconds rest)
{
    upstream_notice notice;
    notice.rest = rest;
    return notice;
}

upstream_notice leaving_notice()
{
    upstream_notice notice;
    notice.leaving = true;
    return notice;
}

TEST(upstream_rest, is_read_with_a_fraction)
{
    EXPECT_EQ(parse_rest("3"), milliseconds(3000));
    EXPECT_EQ(parse_rest("2.5"), milliseconds(2500));
    EXPECT_EQ(parse_rest("0"), milliseconds(0));
    // Not shorter than stated.
    EXPECT_EQ(parse_rest("0.0004"), milliseconds(1));
}

// Guards against an upstream that is never used again, or a time that
// overflows: no rest is longer than an hour, and other values name none.
TEST(upstream_rest, with_an_absurd_value_is_bounded_or_ignored)
{
    EXPECT_EQ(parse_rest("3600"), max_upstream_rest);
    EXPECT_EQ(parse_rest("1e300"), max_upstream_rest);
    for (const auto* text : {"", "-1", "nan", "inf", "-inf", "1e999", "soon",
                             "3 s", " 3", "Fri, 04 Dec 2026 00:00:00 GMT"})
        EXPECT_FALSE(parse_rest(text)) << text;
}

TEST(upstream_notices, end_a_rest_when_it_has_passed)
{
    upstream_notices notices;
    EXPECT_TRUE(
        notices.record("u", rest_of(milliseconds(2500)), start).rest_extended);
    EXPECT_TRUE(notices.is_resting("u", start + milliseconds(2499)));
    EXPECT_EQ(notices.rest_left("u", start + milliseconds(500)),
              milliseconds(2000));
    EXPECT_FALSE(notices.is_resting("u", start + milliseconds(2500)));
    EXPECT_FALSE(notices.is_resting("other", start));
    EXPECT_EQ(notices.count_resting(start), 1U);
    EXPECT_EQ(notices.count_resting(start + milliseconds(2500)), 0U);
}

// Guards against a rest that a later, shorter one or a success cuts short.
TEST(upstream_notices, keep_the_longest_of_repeated_rests)
{
    upstream_notices notices;
    notices.record("u", rest_of(milliseconds(3000)), start);
    const auto later = start + milliseconds(1000);
    EXPECT_FALSE(
        notices.record("u", rest_of(milliseconds(500)), later).rest_extended);
    notices.record("u", {}, later);
    EXPECT_EQ(notices.rest_left("u", later), milliseconds(2000));
    EXPECT_TRUE(
        notices.record("u", rest_of(milliseconds(3000)), later).rest_extended);
    EXPECT_EQ(notices.rest_left("u", later), milliseconds(3000));
}

TEST(upstream_notices, keep_that_an_upstream_leaves)
{
    upstream_notices notices;
    EXPECT_TRUE(notices.record("u", leaving_notice(), start).leaving_began);
    EXPECT_FALSE(notices.record("u", leaving_notice(), start).leaving_began);
    notices.record("u", rest_of(milliseconds(1000)), start);
    EXPECT_TRUE(notices.is_leaving("u"));
}

// Guards against a restarted upstream that is not used, since its predecessor
// rested or left.
TEST(upstream_notices, do_not_bind_another_process)
{
    upstream_notices notices;
    notices.record("u", leaving_notice(), start);
    notices.record("u", rest_of(milliseconds(3000)), start);
    notices.forget("u");
    EXPECT_FALSE(notices.is_leaving("u"));
    EXPECT_FALSE(notices.is_resting("u", start));
}

// Guards against memory that grows with the upstreams that come and go.
TEST(upstream_notices, are_bounded)
{
    upstream_notices notices;
    for (std::size_t i = 0; i <= max_noticed_upstreams; ++i)
        notices.record("u" + std::to_string(i), leaving_notice(),
                       start + milliseconds(i));
    EXPECT_FALSE(notices.is_leaving("u0"));
    EXPECT_TRUE(notices.is_leaving("u1"));
    EXPECT_TRUE(
        notices.is_leaving("u" + std::to_string(max_noticed_upstreams)));
}

} // namespace
} // namespace cyclamenrun

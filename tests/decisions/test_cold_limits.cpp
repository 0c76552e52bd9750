#include "cold_fleet.hpp"
#include "upstream_limits.hpp"

#include <cmath>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenrun::testing_support
{
namespace
{

constexpr cold_bounds bounds{1.5, 5};
constexpr milliseconds long_time{std::chrono::minutes(30)};
/** In each step of 20 ms, each gateway has a request with this probability. */
constexpr double demand = 0.2;

time_point at(int ms)
{
    return time_point(milliseconds(1'000'000 + ms));
}

// Guards against shares that add up to more than the bound, or to less than
// half of it, at some number of gateways or rate.
TEST(cold_share, sums_to_less_than_the_bound_and_more_than_half_of_it)
{
    for (std::size_t gateways = 1; gateways <= 740; ++gateways)
        for (const double per_s : {1.0, 2.0, 5.0, 31.0, 100.0, 2000.0}) {
            const auto share = divide_cold_bound(bounds, per_s, gateways);
            const auto senders = static_cast<double>(share.senders);
            const double bound = per_s * bounds.overrun + bounds.margin;
            EXPECT_LT(senders * (share.capacity + share.rate), 0.95 * bound);
            EXPECT_GT(senders * share.rate, 0.5 * bound);
            EXPECT_GE(share.capacity, 1);
            EXPECT_LE(share.senders, gateways);
        }
}

// Guards against a bound so small that its shares exceed it.
TEST(cold_share, leaves_out_what_has_no_room_for_a_request)
{
    EXPECT_EQ(divide_cold_bound({1.5, 0}, 0.1, 10).senders, 0U);
    EXPECT_EQ(divide_cold_bound(bounds, 0, 10).senders, 0U);
    const auto small = divide_cold_bound({1.5, 0}, 1, 10);
    EXPECT_EQ(small.senders, 1U);
    EXPECT_LT(small.capacity + small.rate, 1.5);
}

/** A gateway that is alone, and one upstream of service `s`. */
class cold_upstream : public testing::Test
{
protected:
    cold_upstream()
    {
        cold().set_bounds(bounds, at(0));
        cold().set_rates({{"s", 16.0}}, at(0));
        pass_to(0);
    }
    /** A process counts the gateways again and again. */
    void pass_to(int ms)
    {
        for (; counted_ms < ms; counted_ms += 500)
            cold().set_gateways({"10.0.0.1", {}, 1}, at(counted_ms));
        cold().set_gateways({"10.0.0.1", {}, 1}, at(ms));
        counted_ms = ms;
    }
    cold_limits& cold() { return limits.cold(); }
    bool become_cold(int now_ms, int left_ms = 30'000)
    {
        pass_to(now_ms);
        return cold().record("u", "s", cold_source::listed,
                             cold_deadline(milliseconds(left_ms), at(now_ms)),
                             at(now_ms));
    }
    /** Sends as fast as the limits allow; returns the number of requests. */
    int send_between(int from_ms, int to_ms)
    {
        int sent = 0;
        for (int ms = from_ms; ms < to_ms; ++ms) {
            if (ms % 100 == 0)
                pass_to(ms);
            if (!limits.has_room("u", at(ms)))
                continue;
            limits.record_send("u", at(ms));
            ++sent;
        }
        return sent;
    }

    std::mt19937_64 random{1};
    upstream_limits limits{random};
    int counted_ms = 0;
};

TEST_F(cold_upstream, is_limited_until_its_time_ends)
{
    EXPECT_TRUE(limits.has_room("u", at(0)));
    EXPECT_TRUE(become_cold(10'000));
    EXPECT_FALSE(become_cold(11'000));
    EXPECT_FALSE(limits.has_room("u", at(10'100)));
    EXPECT_EQ(limits.limit_of("u", at(11'000)), 16.0);
    pass_to(12'000);
    EXPECT_TRUE(limits.has_room("u", at(12'000)));
    EXPECT_TRUE(cold().remove_warm(at(40'000)).empty());
    EXPECT_TRUE(limits.has_room("u", at(41'000)));
    EXPECT_EQ(cold().remove_warm(at(41'000)), std::vector<std::string>{"u"});
    EXPECT_FALSE(limits.limit_of("u", at(41'000)).has_value());
}

// Guards against a bucket that is full when the limit begins.
TEST_F(cold_upstream, has_no_room_when_it_becomes_cold)
{
    ASSERT_TRUE(become_cold(10'000));
    EXPECT_FALSE(limits.has_room("u", at(10'000)));
    // It becomes cold again just before it was warm.
    send_between(10'000, 40'000);
    ASSERT_TRUE(become_cold(40'001));
    EXPECT_FALSE(limits.has_room("u", at(40'001)));
    const auto wait = limits.time_to_room("u", at(40'001));
    EXPECT_GT(wait, milliseconds(0));
    EXPECT_TRUE(limits.has_room("u", at(40'001) + wait));
}

// Guards against a new upstream that is left idle for as long as buckets fill.
TEST_F(cold_upstream, has_room_at_once_if_it_is_new)
{
    ASSERT_TRUE(become_cold(20'000));
    cold().fill_new("u", at(20'000));
    EXPECT_TRUE(limits.has_room("u", at(20'000)));
    // It saves up no more than any other.
    const auto share = divide_cold_bound(bounds, 16, cold().divisor());
    EXPECT_EQ(send_between(20'000, 20'010), std::floor(share.capacity));
}

// Guards against a process that has just started and fills its share a second
// time, after its predecessor.
TEST_F(cold_upstream, has_no_room_at_once_while_gateways_are_unknown)
{
    ASSERT_TRUE(become_cold(9'000));
    cold().fill_new("u", at(9'000));
    EXPECT_FALSE(limits.has_room("u", at(9'000)));
    cold().forget("u");
    pass_to(20'000);
    // Another gateway is found, which may not know of this one yet.
    cold().set_gateways({"10.0.0.1", {"10.0.0.2"}, 2}, at(20'500));
    cold().record("u", "s", cold_source::listed, at(40'000), at(20'500));
    cold().fill_new("u", at(20'500));
    EXPECT_FALSE(limits.has_room("u", at(20'500)));
}

// Guards against a process that goes on after a pause with what it had saved
// up, while others have taken its place.
TEST_F(cold_upstream, gets_nothing_from_a_process_that_was_paused)
{
    ASSERT_TRUE(become_cold(10'000, 100'000));
    pass_to(15'000);
    EXPECT_TRUE(limits.has_room("u", at(15'000)));
    EXPECT_FALSE(limits.has_room("u", at(18'000)));
    cold().set_gateways({"10.0.0.1", {}, 1}, at(18'000));
    counted_ms = 18'000;
    EXPECT_FALSE(limits.has_room("u", at(18'000)));
    pass_to(21'000);
    EXPECT_FALSE(limits.has_room("u", at(21'000)));
    pass_to(24'000);
    EXPECT_TRUE(limits.has_room("u", at(24'000)));
    // The clock stands still while a VM is suspended.
    cold().set_gateways({"10.0.0.1", {}, 1, true}, at(24'100));
    EXPECT_FALSE(limits.has_room("u", at(24'100)));
}

// Guards against a deployment without the rule that is limited.
TEST_F(cold_upstream, is_not_limited_without_a_bound_or_a_rate)
{
    ASSERT_TRUE(become_cold(10'000));
    cold().set_rates({}, at(10'000));
    EXPECT_TRUE(limits.has_room("u", at(10'000)));
    cold().set_rates({{"s", 16.0}}, at(10'000));
    EXPECT_FALSE(limits.has_room("u", at(10'000)));
    cold().set_bounds({}, at(10'000));
    EXPECT_TRUE(limits.has_room("u", at(10'000)));
    EXPECT_FALSE(become_cold(10'001));
}

// Guards against an upstream that ends its limit by one statement while another
// says that it is cold: a record may have been written before.
TEST_F(cold_upstream, is_cold_for_as_long_as_its_record_or_its_answer_says)
{
    cold().record("u", "s", cold_source::answered, at(20'000), at(10'000));
    EXPECT_FALSE(become_cold(10'100, 0));
    EXPECT_FALSE(limits.has_room("u", at(10'100)));
    cold().record("u", "s", cold_source::answered, {}, at(10'200));
    EXPECT_TRUE(limits.has_room("u", at(10'200)));
}

// Guards against the wider of two limits.
TEST_F(cold_upstream, obeys_the_tighter_of_two_limits)
{
    ASSERT_TRUE(become_cold(10'000, 100'000));
    limits.set_gateway_count(1);
    const auto cold_only = send_between(10'000, 20'000);
    EXPECT_GT(cold_only, 10);
    limits.record_answer("u", 0.5, at(20'000));
    EXPECT_NEAR(send_between(20'000, 40'000), 10, 1);
    EXPECT_EQ(limits.limit_of("u", at(40'000)), 0.5);
    limits.record_answer("u", 1000.0, at(40'000));
    EXPECT_NEAR(send_between(40'000, 50'000), cold_only, 3);
}

// Guards against requests that had to be sent without room and are not made up
// for.
TEST_F(cold_upstream, owes_what_was_sent_without_room)
{
    ASSERT_TRUE(become_cold(10'000));
    const auto before = limits.time_to_room("u", at(10'000));
    for (int i = 0; i < 3; ++i)
        limits.record_send("u", at(10'000));
    EXPECT_NEAR(double(limits.time_to_room("u", at(10'000)).count()),
                4 * double(before.count()), 5);
}

// Guards against refused callers that return all at once, or while there is no
// capacity.
TEST_F(cold_upstream, spreads_the_returns_of_refused_callers)
{
    ASSERT_TRUE(become_cold(10'000));
    const auto first = limits.reserve_return("u", at(10'000));
    EXPECT_TRUE(limits.has_room("u", at(10'000) + first));
    EXPECT_GT(limits.reserve_return("u", at(10'000)), first);
}

// Guards against a limit, a debt or a cold time of a predecessor that binds
// another process under the same id.
TEST_F(cold_upstream, that_is_another_process_starts_anew)
{
    ASSERT_TRUE(become_cold(10'000));
    limits.record_answer("u", 0.0, at(10'000));
    limits.forget("u", at(10'500));
    EXPECT_TRUE(limits.has_room("u", at(10'500)));
    EXPECT_EQ(cold().count(at(10'500)), 0U);
    // Others have not learnt of the new process yet.
    EXPECT_FALSE(limits.merge({"u", 0.0, at(10'400)}, at(10'600)));
    EXPECT_TRUE(limits.has_room("u", at(10'600)));
    EXPECT_TRUE(limits.merge({"u", 0.0, at(10'700)}, at(10'800)));
    EXPECT_FALSE(limits.has_room("u", at(10'800)));
}

// Guards against a burst of a large fleet: a bucket of one request at each of
// 370 gateways would be seven times the bound.
TEST(cold_limits_sum, holds_over_370_gateways_that_have_saved_up)
{
    cold_fleet fleet(370, bounds, 31, 1);
    fleet.run(milliseconds(12'000), 0);
    fleet.state_cold(long_time);
    fleet.run(milliseconds(20'000), 0);
    for (int i = 0; i < 3; ++i) {
        fleet.run(milliseconds(2000), 1);
        fleet.run(milliseconds(5000), 0);
    }
    EXPECT_LE(static_cast<double>(fleet.most_in_window()), fleet.bound());
}

// Guards against a bound that is kept by leaving the upstream unused.
TEST(cold_limits_sum, is_used_by_half_at_any_number_of_gateways)
{
    for (const std::size_t size : {5U, 8U, 13U, 20U, 37U, 100U, 370U}) {
        cold_fleet fleet(size, bounds, 31, 1);
        fleet.state_cold(long_time);
        fleet.run(milliseconds(20'000), demand);
        fleet.forget_sends();
        fleet.run(milliseconds(10'000), demand);
        EXPECT_LE(static_cast<double>(fleet.most_in_window()), fleet.bound());
        EXPECT_GE(static_cast<double>(fleet.sent()), 0.5 * fleet.bound() * 10)
            << size;
    }
}

// Guards against a fleet whose processes all restart: each one knows no other
// at first, and its predecessor has just spent its share.
TEST(cold_limits_sum, holds_when_all_gateways_restart)
{
    cold_fleet fleet(370, bounds, 31, 1);
    fleet.state_cold(long_time);
    fleet.run(milliseconds(20'000), 1);
    for (std::size_t i = 0; i < fleet.size(); ++i)
        fleet.restart(i);
    fleet.run(milliseconds(20'000), 1);
    EXPECT_LE(static_cast<double>(fleet.most_in_window()), fleet.bound());
}

// Guards against parts that each take themselves for the whole.
TEST(cold_limits_sum, holds_when_halves_forget_each_other)
{
    cold_fleet fleet(100, bounds, 31, 1);
    fleet.state_cold(long_time);
    fleet.run(milliseconds(20'000), 1);
    fleet.cut();
    fleet.run(milliseconds(25'000), 1);
    for (std::size_t i = 2; i < fleet.size(); ++i)
        fleet.restart(i);
    fleet.run(milliseconds(15'000), 1);
    EXPECT_LE(static_cast<double>(fleet.most_in_window()), fleet.bound());
    fleet.forget_sends();
    fleet.run(milliseconds(10'000), 1);
    EXPECT_GE(static_cast<double>(fleet.sent()), 0.5 * fleet.bound() * 10);
    fleet.heal();
    fleet.run(milliseconds(25'000), 1);
    EXPECT_LE(static_cast<double>(fleet.most_in_window()), fleet.bound());
}

// Guards against newcomers that send before the others know of them.
TEST(cold_limits_sum, holds_when_the_fleet_grows_sevenfold)
{
    cold_fleet fleet(50, bounds, 31, 1);
    fleet.state_cold(long_time);
    fleet.run(milliseconds(20'000), 1);
    while (fleet.size() < 350) {
        for (int i = 0; i < 10; ++i)
            fleet.join();
        fleet.run(milliseconds(400), 1);
    }
    fleet.run(milliseconds(15'000), 1);
    EXPECT_LE(static_cast<double>(fleet.most_in_window()), fleet.bound());
}

/** Something happens to some gateways. */
void disturb(cold_fleet& fleet)
{
    const auto one = fleet.pick(fleet.size());
    switch (fleet.pick(7)) {
    case 0:
        // In a cut, nobody knows how many join the other part.
        if (fleet.size() < 370 && !fleet.is_cut())
            fleet.join();
        return;
    case 1:
        if (fleet.size() > 5)
            fleet.leave(one);
        return;
    case 2:
        for (std::size_t i = 0; i < fleet.size(); ++i)
            if (fleet.pick(3) != 0)
                fleet.restart(i);
        return;
    case 3:
        fleet.cut();
        return;
    case 4:
        fleet.heal();
        return;
    case 5:
        fleet.restart(one);
        return;
    default:
        fleet.pause(one, milliseconds(fleet.pick(200) * 100));
        return;
    }
}

// Guards against full buckets that add up when a new upstream is found, by each
// gateway at another time, while gateways come, go, restart and are cut off.
RC_GTEST_PROP(cold_limits_sum, holds_for_new_upstreams_whatever_happens, ())
{
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const double per_s = *rc::gen::element(2.0, 10.0, 31.0, 80.0);
    const auto size = *rc::gen::weightedElement<std::size_t>(
        {{10, 5}, {10, 9}, {10, 25}, {5, 60}, {1, 370}});
    cold_fleet fleet(size, bounds, per_s, seed);
    fleet.run(milliseconds(15'000), 0);
    if (fleet.pick(2) == 0)
        disturb(fleet);
    fleet.run(milliseconds(1 + fleet.pick(5000)), 0);
    fleet.state_new();
    fleet.state_cold(long_time);
    for (int i = 0; i < 15; ++i) {
        fleet.run(milliseconds(1000), fleet.pick(2) == 0 ? demand : 1);
        if (fleet.pick(3) == 0)
            disturb(fleet);
    }
    RC_ASSERT(static_cast<double>(fleet.most_in_window()) <= fleet.bound());
}

RC_GTEST_PROP(cold_limits_sum, holds_in_every_second_whatever_happens, ())
{
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const double per_s = *rc::gen::element(2.0, 10.0, 31.0, 80.0);
    const auto size = *rc::gen::weightedElement<std::size_t>(
        {{10, 5}, {10, 9}, {10, 25}, {5, 60}, {1, 370}});
    cold_fleet fleet(size, bounds, per_s, seed);
    // Gateways know each other, if only just.
    fleet.run(milliseconds(3000), 0);
    fleet.state_cold(long_time);
    for (int i = 0; i < 30; ++i) {
        // Demand is zero at times, so that buckets fill, and high at others.
        fleet.run(milliseconds(1000), fleet.pick(3) == 0   ? 0
                                      : fleet.pick(2) == 0 ? demand
                                                           : 1);
        if (fleet.pick(3) == 0)
            disturb(fleet);
    }
    RC_ASSERT(static_cast<double>(fleet.most_in_window()) <= fleet.bound());
}

} // namespace
} // namespace cyclamenrun::testing_support

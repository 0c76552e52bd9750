#include "peer_network.hpp"
#include "peers.pb.h"
#include "shared_limits.hpp"

#include <cmath>
#include <deque>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenrun::testing_support
{
namespace
{

time_point at(int ms)
{
    return time_point(milliseconds(1'000'000 + ms));
}

class upstream_limit : public testing::Test
{
protected:
    upstream_limit() { limits.set_gateway_count(1); }

    /** Sends as fast as the limit allows; returns the number of requests. */
    int send_between(int from_ms, int to_ms)
    {
        int sent = 0;
        for (int ms = from_ms; ms < to_ms; ++ms) {
            if (!limits.has_room("u", at(ms)))
                continue;
            limits.record_send("u", at(ms));
            ++sent;
        }
        return sent;
    }

    std::mt19937_64 random{1};
    upstream_limits limits{random};
};

TEST_F(upstream_limit, bounds_the_requests_a_second)
{
    EXPECT_TRUE(limits.record_answer("u", 2.5, at(0)));
    EXPECT_NEAR(send_between(0, 10'000), 25, 1);
    limits.set_gateway_count(5);
    EXPECT_NEAR(send_between(10'000, 20'000), 5, 1);
}

TEST_F(upstream_limit, holds_for_as_long_as_the_upstream_says_so)
{
    EXPECT_TRUE(limits.has_room("u", at(0)));
    EXPECT_TRUE(limits.record_answer("u", 0.0, at(0)));
    EXPECT_FALSE(limits.record_answer("u", 0.0, at(1)));
    EXPECT_FALSE(limits.has_room("u", at(2)));
    EXPECT_TRUE(limits.record_answer("u", std::nullopt, at(3)));
    EXPECT_TRUE(limits.has_room("u", at(4)));
}

// Guards against an upstream that is never used again because it ended while it
// named a limit of zero.
TEST_F(upstream_limit, expires)
{
    EXPECT_TRUE(limits.record_answer("u", 0.0, at(0)));
    EXPECT_FALSE(limits.has_room("u", at(59'000)));
    EXPECT_TRUE(limits.has_room("u", at(60'000)));
    EXPECT_EQ(limits.count_limited(at(60'000)), 0U);
}

// Guards against callers that return all at once.
TEST_F(upstream_limit, spreads_the_returns_of_refused_callers)
{
    EXPECT_TRUE(limits.record_answer("u", 2.0, at(0)));
    auto last = limits.reserve_return("u", at(0));
    for (int i = 0; i < 10; ++i) {
        const auto next = limits.reserve_return("u", at(0));
        EXPECT_EQ(next - last, milliseconds(500));
        last = next;
    }
}

// Guards against old news that lifts a limit or restores a lifted one.
TEST_F(upstream_limit, is_that_of_the_latest_answer)
{
    EXPECT_TRUE(limits.record_answer("u", 2.0, at(100)));
    EXPECT_FALSE(limits.merge({"u", std::nullopt, at(50)}, at(150)));
    EXPECT_EQ(limits.limit_of("u", at(150)), 2.0);
    EXPECT_TRUE(limits.merge({"u", std::nullopt, at(140)}, at(150)));
    EXPECT_FALSE(limits.merge({"u", 2.0, at(130)}, at(160)));
    EXPECT_FALSE(limits.limit_of("u", at(160)).has_value());
}

// Guards against memory that grows with the ids of upstreams.
TEST_F(upstream_limit, is_kept_for_a_bounded_number_of_upstreams)
{
    for (int i = 0; i < 6000; ++i)
        limits.record_answer("u" + std::to_string(i), 1.0, at(0));
    EXPECT_EQ(limits.count_limited(at(1)), max_limited_upstreams);
}

std::uint64_t next_seed = 1;

/** What a gateway shares with others: limits. */
struct limits_node {
    limits_node()
        : limits(random),
          table(make_limits_table(limits, [](const limit_observation&) {}))
    {
    }
    std::mt19937_64 random{next_seed++};
    upstream_limits limits;
    peer_table table;
    std::vector<peer_table> tables() { return {table}; }
};

/** Gateways that send all they may to one upstream with a limit. */
class limited_fleet : public peer_network<limits_node>
{
public:
    using peer_network::peer_network;

    /** Requests a second that callers send, over all gateways. */
    double demand = 40;
    std::optional<double> limit;
    std::vector<time_point> excused_until;

    void run_with_load(milliseconds time)
    {
        excused_until.resize(nodes.size());
        const auto end = now + time;
        while (now < end) {
            std::exponential_distribution<double> pause(demand);
            const auto until =
                now + milliseconds(1 + std::lround(pause(random) * 1000));
            while (now < until) {
                run_for(milliseconds(1));
                for (auto& each : nodes)
                    each.tables->limits.set_gateway_count(
                        each.exchange->gateway_count());
            }
            send(random() % nodes.size());
        }
    }

    /** Most requests in any four seconds. */
    std::size_t most_in_window() const { return most_; }
    std::size_t arrived() const { return arrivals_; }
    void forget_arrivals()
    {
        window_.clear();
        most_ = 0;
        arrivals_ = 0;
    }

private:
    void send(std::size_t gateway)
    {
        auto& limits = nodes[gateway].tables->limits;
        if (!runs(gateway) || !limits.has_room("u", now))
            return;
        limits.record_send("u", now);
        if (now >= excused_until[gateway]) {
            ++arrivals_;
            window_.push_back(now);
            while (window_.front() <= now - milliseconds(4000))
                window_.pop_front();
            most_ = std::max(most_, window_.size());
        }
        limits.record_answer("u", limit, now);
    }

    std::deque<time_point> window_;
    std::size_t most_ = 0;
    std::size_t arrivals_ = 0;
};

double allowed(double limit)
{
    return 1.5 * limit * 4 + 5;
}

// Guards against an upstream that is overrun by many gateways, whatever is lost
// or restarted: from three seconds after it names a limit, no four seconds have
// more than one and a half times the limit and five requests.
RC_GTEST_PROP(shared_limits, hold_over_all_gateways, ())
{
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto size = *rc::gen::inRange<std::size_t>(2, 26);
    const double limit = *rc::gen::inRange(10, 60) / 10.0;
    limited_fleet fleet(size, seed);
    fleet.loss = 0.1;
    fleet.run_with_load(milliseconds(4000));
    fleet.limit = limit;
    fleet.run_with_load(milliseconds(3000));
    fleet.forget_arrivals();
    for (int step = 0; step < 5; ++step) {
        const auto restarted = fleet.random() % size;
        fleet.start(restarted);
        fleet.excused_until[restarted] = fleet.now + milliseconds(3000);
        fleet.run_with_load(milliseconds(2000));
    }
    RC_ASSERT(fleet.most_in_window() <= allowed(limit));
    // A limit that is lifted is forgotten everywhere.
    fleet.limit.reset();
    fleet.run_with_load(milliseconds(4000));
    for (const auto& node : fleet.nodes)
        RC_ASSERT(node.tables->limits.has_room("u", fleet.now));
}

// Guards against limits that are kept by leaving the upstream unused.
TEST(shared_limits, are_used)
{
    limited_fleet fleet(5, 1);
    fleet.run_for(milliseconds(3000));
    fleet.limit = 4;
    fleet.run_with_load(milliseconds(3000));
    fleet.forget_arrivals();
    fleet.run_with_load(milliseconds(20'000));
    EXPECT_GE(fleet.arrived(), 64U);
}

// Guards against a burst of a large fleet: a hundred gateways learn of a limit
// at the same moment, and each could send one request at once.
TEST(shared_limits, hold_over_a_hundred_gateways)
{
    limited_fleet fleet(100, 1);
    fleet.run_for(milliseconds(12'000));
    fleet.limit = 4;
    fleet.run_with_load(milliseconds(3000));
    fleet.forget_arrivals();
    fleet.run_with_load(milliseconds(12'000));
    EXPECT_LE(static_cast<double>(fleet.most_in_window()), allowed(4));
}

// Guards against limits that a broken datagram sets.
TEST(shared_limits, ignore_limits_that_are_no_rates)
{
    peer_network<limits_node> fleet(1, 1);
    auto& node = fleet.nodes[0];
    v1::PeerMessage message;
    for (const double limit : {-1.0, std::nan(""), HUGE_VAL}) {
        auto& added = *message.add_limits();
        added.set_upstream("u");
        added.set_limit(limit);
    }
    node.tables->table.merge(message, fleet.now);
    EXPECT_EQ(node.tables->limits.count_limited(fleet.now), 0U);
}

} // namespace
} // namespace cyclamenrun::testing_support

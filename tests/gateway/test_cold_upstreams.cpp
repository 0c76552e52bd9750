#include "feed_history.hpp"
#include "gateway_fleet.hpp"

#include <algorithm>
#include <deque>
#include <thread>

namespace cyclamenrun::testing_support
{
namespace
{

/** More than cold upstreams get in these tests: it never ends. */
constexpr milliseconds long_time{std::chrono::minutes(10)};

void serve(const arrived_request& request, upstream_reply& reply)
{
    reply.answer(request, 200, "good");
}

class cold_upstreams : public gateway_fixture
{
protected:
    cold_upstreams()
    {
        settings.cold_overrun = 1.5;
        settings.cold_margin = 5;
    }

    /** Starts a gateway whose service allows cold upstreams this rate. */
    void start_with_rate(double per_s)
    {
        start(false);
        auto changed = configuration();
        changed.services[0].cold_rate = per_s;
        apply(changed);
    }
    /** Adds an upstream that is cold. */
    fake_upstream& add_cold(const std::string& id)
    {
        auto& added = add(id, serve);
        records.back().cold_until = steady_now() + long_time;
        publish_record(records.back());
        wait_for_state("\"cold_upstreams\":1,");
        return added;
    }
    void wait_for_state(const std::string& text)
    {
        const auto deadline = steady_now() + std::chrono::seconds(10);
        while (state().find(text) == std::string::npos &&
               steady_now() < deadline)
            std::this_thread::sleep_for(milliseconds(5));
        EXPECT_NE(state().find(text), std::string::npos) << text;
    }
};

// Guards against a cold upstream that is sent requests which others could have
// taken, and against callers that wait: none may be sent in the first seconds
// of a gateway, which does not know the others yet.
TEST_F(cold_upstreams, get_nothing_while_others_have_room)
{
    start_with_rate(1);
    const auto& cold = add_cold("u1");
    for (int i = 0; i < 5; ++i) {
        const auto began = steady_now();
        const auto answer = send_request("/plain/x");
        EXPECT_EQ(answer.status(), 503U);
        EXPECT_LT(steady_now() - began, milliseconds(500));
        EXPECT_NE(answer.body.find("over_limit"), std::string::npos);
        EXPECT_GT(std::stod(answer.field("Retry-After")), 0);
    }
    const auto& warm = add("u2", serve);
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(send_request("/plain/x").status(), 200U);
    EXPECT_EQ(warm.arrived().size(), 20U);
    EXPECT_TRUE(cold.arrived().empty());
    // Its next record says that it is no longer cold.
    records[0].cold_until = time_point{};
    publish_record(records[0]);
    wait_for_state("\"cold_upstreams\":0,");
    for (int i = 0; i < 200 && cold.arrived().empty(); ++i)
        EXPECT_EQ(send_request("/plain/x").status(), 200U);
    EXPECT_FALSE(cold.arrived().empty());
}

// Guards against a deployment without the rule that is served differently.
TEST_F(cold_upstreams, are_used_as_others_without_a_bound)
{
    settings.cold_overrun = 0;
    start_with_rate(1);
    add("u1", serve);
    records.back().cold_until = steady_now() + long_time;
    publish_record(records.back());
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(send_request("/plain/x").status(), 200U);
    EXPECT_NE(state().find("\"cold_upstreams\":0,"), std::string::npos);
}

// Guards against a predecessor that binds another process under the same id:
// it was cold, and had named a limit.
TEST_F(cold_upstreams, that_are_another_process_start_anew)
{
    start_with_rate(1);
    add("u1", [](const arrived_request& request, upstream_reply& reply) {
        reply.answer(request, 200, "good", "Server-Limit: 0\r\n");
    });
    EXPECT_EQ(send_request("/plain/x").status(), 200U);
    EXPECT_EQ(send_request("/plain/x").status(), 503U);
    records[0].cold_until = steady_now() + long_time;
    publish_record(records[0]);
    wait_for_state("\"cold_upstreams\":1,");
    records[0].cold_until = time_point{};
    records[0].started_ms = 7;
    publish_record(records[0]);
    wait_for_state("\"cold_upstreams\":0,\"");
    wait_for_state("\"limited_upstreams\":0,");
    EXPECT_EQ(send_request("/plain/x").status(), 200U);
}

// Guards against records of a service without a stated time that are not read:
// the service says for how long its upstreams are cold.
TEST_F(cold_upstreams, are_known_by_their_start_if_they_state_nothing)
{
    start(false);
    add("u1", serve);
    const auto unix_now = std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    records[0].started_ms = unix_now.count();
    publish_record(records[0]);
    auto changed = configuration();
    changed.services[0].cold_rate = 1;
    changed.services[0].cold_time = long_time;
    apply(changed);
    wait_for_state("\"cold_upstreams\":1,");
    records[0].started_ms -= 2 * milliseconds(long_time).count();
    publish_record(records[0]);
    wait_for_state("\"cold_upstreams\":0,");
}

// Guards against the successor of a crashed upstream that is overrun before the
// directory lists it.
TEST_F(cold_upstreams, are_expected_after_a_crash)
{
    start(false);
    auto changed = configuration();
    changed.services[0].cold_rate = 1;
    changed.services[0].cold_time = long_time;
    apply(changed);
    add("u1", [this](const arrived_request&, upstream_reply& reply) {
        upstreams[0]->stop_listening();
        reply.reset();
    });
    records[0].cold_until = time_point{};
    publish_record(records[0]);
    wait_for_state("\"cold_upstreams\":0,");
    send_request("/plain/x");
    wait_for_state("\"cold_upstreams\":1,");
}

class cold_fleets : public gateway_fleet
{
protected:
    cold_fleets()
    {
        settings.cold_overrun = 1.5;
        settings.cold_margin = 5;
        cold_rate = 10;
    }
};

// Guards against an upstream that is overrun while it is cold, and against one
// that is left unused: from all gateways together, it gets at most one and a
// half times its rate and five requests in any second, whichever restart.
TEST_F(cold_fleets, keep_the_bound_and_use_half_of_it)
{
    constexpr double bound = 20;
    start_fleet(4);
    cold_until = steady_now() + long_time;
    std::mutex mutex;
    std::vector<time_point> arrivals;
    add_to_all("u1",
               [&](const arrived_request& request, upstream_reply& reply) {
                   {
                       const std::scoped_lock lock(mutex);
                       arrivals.push_back(steady_now());
                   }
                   serve(request, reply);
               });
    ASSERT_TRUE(all_learn("\"cold_upstreams\":1,"));
    const auto send_for = [this](milliseconds time) {
        const auto end = steady_now() + time;
        for (std::size_t i = 0; steady_now() < end; ++i) {
            const auto answer = send_to(i % size(), "/safe/x", "x");
            EXPECT_TRUE(answer.status() == 200 || answer.status() == 503);
            std::this_thread::sleep_for(milliseconds(2));
        }
    };
    send_for(milliseconds(8000));
    const auto measured_from = steady_now();
    send_for(milliseconds(4000));
    const auto measured_to = steady_now();
    restart(1);
    restart(2);
    send_for(milliseconds(2000));
    const std::scoped_lock lock(mutex);
    const auto used =
        std::count_if(arrivals.begin(), arrivals.end(), [&](auto at) {
            return at >= measured_from && at < measured_to;
        });
    EXPECT_GE(static_cast<double>(used), 0.5 * bound * 4);
    for (auto from = arrivals.begin(); from != arrivals.end(); ++from)
        EXPECT_LE(
            static_cast<double>(std::upper_bound(from, arrivals.end(),
                                                 *from + milliseconds(1000)) -
                                from),
            bound);
}

// Guards against relays that pass each record of an upstream on because the
// time in it differs, and against ones that keep back that it is cold again.
TEST(cold_records, are_heartbeats_unless_the_upstream_is_cold_for_longer)
{
    const time_point now{std::chrono::hours(1)};
    upstream_change first{"u", upstream_record{}};
    auto second = first;
    EXPECT_TRUE(upstream_record_traits::same(first, second));
    first.record->cold_until = now;
    EXPECT_FALSE(upstream_record_traits::same(first, second));
    second.record->cold_until = now + milliseconds(2000);
    EXPECT_TRUE(upstream_record_traits::same(first, second));
    second.record->cold_until = now + milliseconds(20'000);
    EXPECT_FALSE(upstream_record_traits::same(first, second));
    second.record->cold_until = time_point{};
    EXPECT_FALSE(upstream_record_traits::same(first, second));
    first.record->cold_until = time_point{};
    EXPECT_TRUE(upstream_record_traits::same(first, second));
    EXPECT_TRUE(
        upstream_record_traits::same({"u", std::nullopt}, {"u", std::nullopt}));
}

} // namespace
} // namespace cyclamenrun::testing_support

#include "peer_network.hpp"
#include "poison_guard.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenrun::testing_support
{
namespace
{

const suspected_work work(42);

time_point at(int ms)
{
    return time_point(milliseconds(1'000'000 + ms));
}

class poison_guards : public testing::Test
{
protected:
    void crash(const std::string& upstream, time_point now,
               run_stage stage = run_stage::beginning)
    {
        guard.record_crash(upstream, {work, 0, stage, now, now}, now);
    }

    /** Asks for a request whose sends have ended. */
    poison_admission admit(const suspected_work& asked, time_point now)
    {
        guard.end_solo(claim);
        return guard.admit(asked, claim, now);
    }

    bool admits(const suspected_work& asked, time_point now)
    {
        return may_run(admit(asked, now));
    }

    milliseconds time_to_trial(time_point now) const
    {
        return time_left(guard.grounds(work, now)->next_trial, now);
    }

    std::mt19937_64 random{1};
    poison_guard guard{random};
    solo_run claim;
};

TEST_F(poison_guards, refuse_a_request_after_two_crashes)
{
    crash("u1", at(0));
    EXPECT_EQ(admit(work, at(1)), poison_admission::solo);
    crash("u2", at(2));
    EXPECT_EQ(admit(work, at(3)), poison_admission::refused);
    EXPECT_EQ(admit(suspected_work(work.request + 1), at(3)),
              poison_admission::allowed);
}

// Guards against a conviction by one crash that several gateways have seen.
TEST_F(poison_guards, count_a_crash_once)
{
    for (int i = 0; i < 5; ++i)
        crash("u1", at(i));
    EXPECT_EQ(admit(work, at(9)), poison_admission::solo);
}

// Guards against a request that ends one process after the other, all with the
// same id.
TEST_F(poison_guards, count_the_crash_of_another_process_with_the_same_id)
{
    crash("u1", at(0));
    EXPECT_EQ(admit(work, at(1)), poison_admission::solo);
    guard.record_replacement("u1");
    crash("u1", at(2));
    EXPECT_EQ(admit(work, at(3)), poison_admission::refused);
}

// Guards against the conviction of a long generation that was resumed beside
// the same poison request twice.
TEST_F(poison_guards, count_requests_that_had_run_for_a_while_half)
{
    crash("u1", at(0), run_stage::settled);
    crash("u2", at(1), run_stage::settled);
    crash("u3", at(2), run_stage::settled);
    EXPECT_EQ(admit(work, at(3)), poison_admission::solo);
    crash("u4", at(4), run_stage::settled);
    EXPECT_EQ(admit(work, at(5)), poison_admission::refused);
}

TEST_F(poison_guards, forget_what_was_marked_when_the_request_succeeds)
{
    crash("u1", at(0));
    guard.record_success("u2", work, at(1), at(1));
    EXPECT_EQ(admit(work, at(1)), poison_admission::allowed);
    crash("u2", at(2));
    EXPECT_EQ(admit(work, at(3)), poison_admission::solo);
}

// Guards against a healthy request that is refused for an hour because it ran
// beside others that crashed its upstreams.
TEST_F(poison_guards, try_a_convicted_request_again)
{
    crash("u1", at(0));
    crash("u2", at(0));
    EXPECT_EQ(time_to_trial(at(0)), milliseconds(60'000));
    EXPECT_EQ(admit(work, at(59'000)), poison_admission::refused);
    EXPECT_EQ(admit(work, at(60'000)), poison_admission::trial);
    solo_run other;
    EXPECT_EQ(guard.admit(work, other, at(60'001)), poison_admission::refused);
    guard.record_success("u3", work, at(61'000), at(61'000));
    EXPECT_EQ(admit(work, at(61'001)), poison_admission::allowed);
}

// Guards against a part that is excused by its last run however often upstreams
// crash under it, and against suspecting it for one crash.
TEST_F(poison_guards, excuse_a_part_that_ran_well_from_one_round_of_crashes)
{
    guard.record_success("u1", suspected_work(1, {7}), at(0), at(1000));
    const auto crash_part = [this](int request, int ms) {
        const suspected_work lost(static_cast<std::uint64_t>(request), {7});
        guard.record_crash("c" + std::to_string(request),
                           {lost, 0, run_stage::beginning, at(ms), at(ms + 50)},
                           at(ms + 50));
    };
    const suspected_work next(100, {7});
    crash_part(2, 2000);
    EXPECT_EQ(admit(next, at(2100)), poison_admission::allowed);
    crash_part(3, 2200);
    EXPECT_EQ(admit(next, at(2300)), poison_admission::solo);
    crash_part(4, 2400);
    EXPECT_EQ(admit(next, at(2500)), poison_admission::refused);
    // Its own good run of before makes a trial worth while soon.
    EXPECT_EQ(admit(next, at(4000)), poison_admission::trial);
}

// Guards against logs that don't tell a part that ran well until a crash from
// one that is new.
TEST_F(poison_guards, count_the_parts_that_ran_well_lately)
{
    guard.record_success("u1", suspected_work(1, {7, 8}), at(0), at(1000));
    const suspected_work next(2, {7, 9});
    EXPECT_EQ(guard.count_recent_parts(next, at(5000)), 1U);
    EXPECT_EQ(guard.count_recent_parts(next, at(20'000)), 0U);
}

// Guards against trials that crash an upstream each minute.
TEST_F(poison_guards, try_a_request_at_most_twice)
{
    crash("u0", at(0));
    crash("u1", at(0));
    int trials = 0;
    for (int second = 1; second < 3500; ++second) {
        if (admit(work, at(second * 1000)) != poison_admission::trial)
            continue;
        ++trials;
        crash("t" + std::to_string(trials), at(second * 1000 + 500));
    }
    EXPECT_EQ(trials, 2);
    EXPECT_EQ(admit(work, at(3'600'000 + 700'000)), poison_admission::allowed);
}

// Guards against memory that grows with the crashes.
TEST_F(poison_guards, keep_a_bounded_number_of_requests)
{
    for (int i = 0; i < 10'000; ++i)
        guard.record_crash(
            "u" + std::to_string(i),
            {suspected_work(i), 0, run_stage::beginning, at(i), at(i)}, at(i));
    EXPECT_LE(guard.size(), 4096U);
}

/** What a gateway shares with others: its marks. */
struct shared_marks {
    std::mt19937_64 random{7};
    poison_guard guard{random};
    std::vector<peer_table> tables() { return {guard.table()}; }
};

/**
 * Gateways that get the same request again and again, and upstreams that crash
 * when they run it.
 */
class poisoned_fleet : public peer_network<shared_marks>
{
public:
    using peer_network::peer_network;

    /** A gateway gets the request; returns the number of crashes it causes. */
    unsigned send(std::size_t gateway)
    {
        unsigned crashes = 0;
        auto& guard = nodes[gateway].tables->guard;
        bool on_trial = false;
        while (crashes < 2 && !on_trial) {
            solo_run claim;
            const auto admission = guard.admit(work, claim, now);
            if (!may_run(admission))
                break;
            on_trial = admission == poison_admission::trial;
            const auto sent_at = now;
            run_for(milliseconds(300));
            ++crashes;
            ++crashed;
            guard.record_crash("u" + std::to_string(crashed),
                               {work, 0, run_stage::beginning, sent_at, now},
                               now);
            guard.end_solo(claim);
            if (crashed == 3)
                third_crash_at = now;
        }
        return crashes;
    }

    unsigned crashed = 0;
    std::optional<time_point> third_crash_at;
};

// Guards against a fleet that loses upstream after upstream to one request,
// whatever is lost, restarted, frozen or cut off in between: three seconds
// after the third crash, at most three more sends reach an upstream.
RC_GTEST_PROP(poison_guard_fleet, bounds_the_crashes_of_one_request, ())
{
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto size = *rc::gen::inRange<std::size_t>(2, 10);
    poisoned_fleet fleet(size, seed);
    fleet.loss = 0.1;
    fleet.run_for(milliseconds(5000));
    unsigned late = 0;
    std::size_t restarted = 0;
    for (int step = 0; step < 150; ++step) {
        const auto chosen = fleet.random() % size;
        // At least one gateway keeps what the fleet knows.
        if (fleet.random() % 20 == 0 && restarted + 1 < size) {
            fleet.start(restarted++);
            fleet.run_for(milliseconds(3000));
        }
        const bool is_late =
            fleet.third_crash_at &&
            fleet.now > *fleet.third_crash_at + milliseconds(3000);
        const auto crashes = fleet.send(chosen);
        if (is_late)
            late += crashes;
        fleet.run_for(milliseconds(static_cast<int>(fleet.random() % 1000)));
    }
    RC_ASSERT(late <= 3U);
}

// Guards against a healthy request that stays refused at some gateways after
// another one has served it.
TEST(poison_guard_fleet, a_success_counts_at_all_gateways)
{
    poisoned_fleet fleet(5, 1);
    fleet.run_for(milliseconds(5000));
    (void)fleet.send(0);
    fleet.run_for(milliseconds(1000));
    for (auto& node : fleet.nodes)
        EXPECT_TRUE(node.tables->guard.is_poison(work, fleet.now));
    fleet.run_for(milliseconds(60'000));
    solo_run tried;
    ASSERT_EQ(fleet.nodes[3].tables->guard.admit(work, tried, fleet.now),
              poison_admission::trial);
    fleet.run_for(milliseconds(100));
    // No other gateway tries it at the same time.
    solo_run other;
    EXPECT_EQ(fleet.nodes[1].tables->guard.admit(work, other, fleet.now),
              poison_admission::refused);
    fleet.nodes[3].tables->guard.record_success("u9", work, fleet.now,
                                                fleet.now);
    fleet.run_for(milliseconds(1000));
    for (auto& node : fleet.nodes)
        EXPECT_FALSE(node.tables->guard.is_poison(work, fleet.now));
}

} // namespace
} // namespace cyclamenrun::testing_support

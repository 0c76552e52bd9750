#include "connection_admission.hpp"

#include <cmath>
#include <deque>
#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

using seconds = std::chrono::duration<double>;

constexpr time_point start{std::chrono::hours(1)};
constexpr double share = 0.19; // of a core
constexpr double refusal_cost_s = 0.00003;

duration core_time(double time_s)
{
    return std::chrono::duration_cast<duration>(seconds(time_s));
}

/**
 * A process that gets a share of a core and is behind with what it cannot do in
 * time. Half of a request's work comes at once, half of it over two seconds.
 */
class fake_process
{
public:
    explicit fake_process(const connection_limits& limits,
                          double granted_share = share)
        : admission(limits, start), granted_share_(granted_share)
    {
    }

    /** Runs until `end` with this number of new connections a second. */
    void run(duration length, double connections_per_s)
    {
        const auto end = now + length;
        while (now < end) {
            now += load_interval;
            offer(connections_per_s * seconds(load_interval).count());
            work();
            admission.update({used_, delay, 0, read, {}}, now);
        }
    }

    void add_work(double time_s) { backlog_s_ += time_s; }
    /** Counts from now on. */
    void restart_counts()
    {
        read = 0;
        refused = 0;
        longest_delay = {};
        used_since_ = used_;
    }
    /** Part of the share that was used since the counts were restarted. */
    double used_part(duration length) const
    {
        return seconds(used_ - used_since_).count() /
               (granted_share_ * seconds(length).count());
    }

    connection_admission admission;
    time_point now = start;
    duration delay{};
    duration longest_delay{};
    double cost_s = 0.0004; ///< of a request
    std::size_t read = 0;
    std::size_t refused = 0;
    std::size_t waited = 0; ///< connections left in the listener's queue

private:
    void offer(double connections)
    {
        offered_ += connections;
        for (; offered_ >= 1; offered_ -= 1) {
            if (admission.must_wait(now)) {
                ++waited;
                continue;
            }
            const bool accepted =
                admission.may_accept({}, now) == connection_shortage::none &&
                admission.may_read(now) == connection_shortage::none;
            if (!accepted) {
                ++refused;
                backlog_s_ += refusal_cost_s;
                continue;
            }
            ++read;
            backlog_s_ += cost_s / 2;
            later_.push_back(now + std::chrono::seconds(2));
        }
    }

    void work()
    {
        const auto interval_s = seconds(load_interval).count();
        while (!later_.empty() && later_.front() <= now)
            later_.pop_front();
        backlog_s_ +=
            static_cast<double>(later_.size()) * cost_s / 2 * interval_s / 2;
        const auto done = std::min(backlog_s_, granted_share_ * interval_s);
        backlog_s_ -= done;
        used_ += core_time(done);
        delay = core_time(backlog_s_ / granted_share_);
        longest_delay = std::max(longest_delay, delay);
    }

    double granted_share_;
    double backlog_s_ = 0;
    double offered_ = 0;
    std::deque<time_point> later_; ///< ends of the work that comes later
    duration used_{};
    duration used_since_{};
};

connection_limits share_only()
{
    connection_limits limits;
    limits.processor_share = share;
    return limits;
}

// Guards against a gateway that reads what it cannot serve in time: nearly all
// new connections of a region arrive at it for ten seconds.
TEST(connection_admission, keeps_a_process_in_time_in_a_surge)
{
    fake_process process(share_only());
    process.run(std::chrono::seconds(20), 10);
    process.restart_counts();
    process.run(std::chrono::seconds(10), 925);
    EXPECT_LT(process.longest_delay, milliseconds(400));
    EXPECT_GT(process.refused, 3000U);
    // What it can do is done: the share allows 475 requests a second.
    EXPECT_GT(process.read, 3000U);
    EXPECT_GT(process.used_part(std::chrono::seconds(10)), 0.65);
}

// Guards against refusals that use up the share, so that nothing is served:
// callers that are closed unread try again and again.
TEST(connection_admission, serves_requests_while_callers_keep_trying)
{
    fake_process process(share_only());
    process.run(std::chrono::seconds(5), 20000);
    process.restart_counts();
    process.run(std::chrono::seconds(10), 20000);
    EXPECT_GT(process.read, 1500U);
    EXPECT_GT(process.waited, 0U);
    EXPECT_LT(process.longest_delay, milliseconds(400));
}

// The same process without a limit, as a contrast: it falls behind by seconds.
TEST(connection_admission, takes_everything_without_limits)
{
    fake_process process({});
    process.run(std::chrono::seconds(10), 925);
    EXPECT_EQ(process.refused, 0U);
    EXPECT_GT(process.longest_delay, milliseconds(3000));
    EXPECT_EQ(process.admission.may_accept({1000000, 1000000}, process.now),
              connection_shortage::none);
    EXPECT_FALSE(process.admission.under_pressure(process.now));
}

// Guards against usual load that is turned away: several times the usual
// requests, and a new configuration that takes more than a second of the share.
TEST(connection_admission, turns_no_usual_load_away)
{
    fake_process process(share_only());
    for (int i = 0; i < 10; ++i) {
        process.run(std::chrono::seconds(5), 30);
        process.add_work(0.25);
    }
    process.run(std::chrono::seconds(5), 30);
    EXPECT_EQ(process.refused, 0U);
    EXPECT_FALSE(process.admission.under_pressure(process.now));
}

// Guards against refusals that outlast their cause.
TEST(connection_admission, takes_usual_load_as_soon_as_a_surge_has_ended)
{
    fake_process process(share_only());
    process.run(std::chrono::seconds(10), 2000);
    process.restart_counts();
    process.run(std::chrono::seconds(5), 10);
    EXPECT_EQ(process.refused, 0U);
    EXPECT_FALSE(process.admission.under_pressure(process.now));
}

// Guards against a process that reads by a share which its host does not give
// it: its timers run late while it uses what it gets.
TEST(connection_admission, reads_less_where_the_host_gives_less)
{
    fake_process process(share_only(), share * 0.6);
    process.run(std::chrono::seconds(5), 925);
    process.restart_counts();
    process.run(std::chrono::seconds(10), 925);
    EXPECT_LT(process.longest_delay, milliseconds(800));
    EXPECT_GT(process.used_part(std::chrono::seconds(10)), 0.5);
}

// Guards against a process that was paused, or whose host is busy with other
// work, and turns its callers away although it has used no processor time.
TEST(connection_admission, does_not_count_a_pause_as_overload)
{
    connection_admission admission(share_only(), start);
    auto now = start;
    process_load load;
    for (int i = 0; i < 20; ++i) {
        load.delay = std::chrono::seconds(3);
        now += load.delay;
        load.processor_used += milliseconds(1);
        admission.update(load, now);
        for (int k = 0; k < 50; ++k) {
            EXPECT_EQ(admission.may_accept({}, now), connection_shortage::none);
            EXPECT_EQ(admission.may_read(now), connection_shortage::none);
        }
    }
}

// Guards against the wrong number of requests where a request costs more than
// elsewhere, as on a slower host.
TEST(connection_admission, learns_what_a_request_costs)
{
    fake_process process(share_only());
    process.cost_s = 0.002;
    process.run(std::chrono::seconds(20), 400);
    EXPECT_NEAR(seconds(process.admission.request_cost()).count(), 0.002,
                0.0006);
    process.restart_counts();
    process.run(std::chrono::seconds(10), 400);
    EXPECT_LT(process.longest_delay, milliseconds(400));
    EXPECT_GT(process.read, 500U);
}

// Guards against a connection for whose upstream no descriptor is left, and
// against a state that flips with each connection.
TEST(connection_admission, keeps_descriptors_for_what_it_has_accepted)
{
    connection_limits limits;
    limits.descriptors = 1000;
    connection_admission admission(limits, start);
    EXPECT_EQ(admission.may_accept({498, 500}, start),
              connection_shortage::none);
    EXPECT_EQ(admission.may_accept({499, 500}, start),
              connection_shortage::descriptors);
    EXPECT_EQ(admission.may_accept({470, 500}, start),
              connection_shortage::descriptors);
    EXPECT_EQ(admission.may_accept({448, 500}, start),
              connection_shortage::none);
    EXPECT_EQ(admission.may_accept({498, 500}, start),
              connection_shortage::none);
}

// Guards against kept connections that take the descriptors of those to come:
// the first answers close theirs while less than half is left.
TEST(connection_admission, is_under_pressure_before_descriptors_are_short)
{
    connection_limits limits;
    limits.descriptors = 1000;
    connection_admission admission(limits, start);
    EXPECT_EQ(admission.may_accept({300, 100}, start),
              connection_shortage::none);
    EXPECT_FALSE(admission.under_pressure(start));
    EXPECT_EQ(admission.may_accept({400, 200}, start),
              connection_shortage::none);
    EXPECT_TRUE(admission.under_pressure(start));
    admission.may_accept({300, 150}, start);
    EXPECT_TRUE(admission.under_pressure(start));
    admission.may_accept({200, 100}, start);
    EXPECT_FALSE(admission.under_pressure(start));
}

TEST(connection_admission, keeps_a_part_of_the_memory_free)
{
    connection_limits limits;
    limits.memory_bytes = 100;
    connection_admission admission(limits, start);
    process_load load;
    const auto shortage_at = [&](std::size_t bytes) {
        load.memory_bytes = bytes;
        admission.update(load, start);
        return admission.may_accept({}, start);
    };
    EXPECT_EQ(shortage_at(85), connection_shortage::none);
    EXPECT_EQ(shortage_at(86), connection_shortage::memory);
    EXPECT_EQ(shortage_at(81), connection_shortage::memory);
    EXPECT_EQ(shortage_at(80), connection_shortage::none);
    EXPECT_EQ(shortage_at(85), connection_shortage::none);
}

} // namespace
} // namespace cyclamenrun

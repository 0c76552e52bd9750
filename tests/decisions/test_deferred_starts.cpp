#include "start_queue.hpp"

#include <cmath>
#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace cyclamenrun
{
namespace
{

/**
 * The start queue of an engine with three streams, whose steps take 8 ms, 16 ms
 * beside a prefill, and 2.5 times as long in slow moments.
 */
class deferred_starts : public testing::Test
{
protected:
    deferred_starts()
    {
        queue.set_slots(24);
        for (int i = 0; i < 6; ++i)
            learn();
    }

    void learn()
    {
        for (int i = 0; i < 9; ++i) {
            run(700, 8);
            run(300, 16, true);
        }
        run(600, 20);
        run(400, 8);
        queue.record_events(3 * 250, milliseconds(3 * 10'000));
    }

    /** Runs for this time; returns the starts that were granted meanwhile. */
    std::vector<std::string> run(int ms, double step_ms,
                                 bool prefilling = false)
    {
        std::vector<std::string> granted;
        for (const int end = now_ms_ + ms; now_ms_ < end;) {
            now_ms_ += 100;
            elapsed_ += 100;
            const auto steps =
                static_cast<std::uint64_t>(std::floor(elapsed_ / step_ms));
            elapsed_ -= static_cast<double>(steps) * step_ms;
            made_ += steps;
            queue.update_status(status(prefilling), false, now());
            for (const auto& id : grant())
                granted.push_back(id);
        }
        return granted;
    }

    std::vector<std::string> grant()
    {
        std::vector<std::string> ids;
        for (const auto& each : queue.grant_starts(now()))
            ids.push_back(each.id);
        return ids;
    }

    engine_status status(bool prefilling) const
    {
        engine_status result;
        result.memory_total = 1'000'000;
        result.starting = prefilling ? 1 : 0;
        result.running = 3 + result.starting;
        for (const std::string id : {"a", "b", "c"})
            result.generations.push_back({"stream_" + id, 1000 + made_});
        return result;
    }

    void request(const std::string& id, int due_ms, int gap_target_ms = 130)
    {
        start_request wanted;
        wanted.id = id;
        wanted.prompt_tokens = 2000;
        wanted.output_tokens = 400;
        wanted.first_due = now() + milliseconds(due_ms);
        wanted.gap_target = milliseconds(gap_target_ms);
        queue.request_start(wanted, now());
    }

    time_point now() const
    {
        return time_point{std::chrono::hours(1)} + milliseconds(now_ms_);
    }

    start_queue queue;

private:
    int now_ms_ = 0;
    double elapsed_ = 0;
    std::uint64_t made_ = 0;
};

using names = std::vector<std::string>;

// Guards against a prompt beside running streams in a slow moment, which makes
// all of them late.
TEST_F(deferred_starts, wait_for_the_end_of_a_slow_moment)
{
    run(300, 20);
    request("a", 1500);
    EXPECT_EQ(grant(), names{});
    EXPECT_TRUE(queue.is_deferring());
    EXPECT_EQ(run(300, 8), names{"a"});
    EXPECT_FALSE(queue.is_deferring());
}

// Guards against starts whose own first part is late because they waited.
TEST_F(deferred_starts, wait_no_longer_than_they_can_be_on_time)
{
    run(300, 20);
    request("a", 1000);
    EXPECT_EQ(run(300, 20), names{});
    // 2,000 tokens are prefilled in some 300 ms, and half of it is reserved.
    EXPECT_EQ(run(300, 20), names{"a"});
}

TEST_F(deferred_starts, do_not_wait_while_the_engine_is_not_slow)
{
    request("a", 1500);
    EXPECT_EQ(grant(), names{"a"});
}

TEST_F(deferred_starts, do_not_wait_without_a_gap_target)
{
    run(300, 20);
    request("a", 1500, 0);
    EXPECT_EQ(grant(), names{"a"});
}

TEST_F(deferred_starts, do_not_wait_where_no_event_passes_the_target)
{
    run(300, 20);
    request("a", 1500, 1000);
    EXPECT_EQ(grant(), names{"a"});
}

// Guards against a late start that makes the streams late for which one that is
// on time waits.
TEST_F(deferred_starts, are_not_overtaken_by_late_ones)
{
    run(300, 20);
    request("late", 100);
    request("on_time", 1500);
    EXPECT_EQ(grant(), names{});
    EXPECT_EQ(run(200, 8), names{"on_time"});
}

} // namespace
} // namespace cyclamenrun

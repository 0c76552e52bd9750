#include "step_times.hpp"

#include <cmath>
#include <gtest/gtest.h>
#include <random>
#include <string>

namespace cyclamenrun
{
namespace
{

/** An engine with three streams, polled each 100 ms. */
class polled_engine
{
public:
    /** Runs for this time with steps of this duration. */
    void run(int ms, double step_ms, bool prefilling = false)
    {
        for (int end = now_ms_ + ms; now_ms_ < end;) {
            now_ms_ += 100;
            elapsed_ += 100;
            const auto made =
                static_cast<std::uint64_t>(std::floor(elapsed_ / step_ms));
            elapsed_ -= static_cast<double>(made) * step_ms;
            made_ += made;
            poll(prefilling);
        }
    }

    /** Events with this many tokens that three streams have made by now. */
    void relay_events(std::uint64_t tokens_per_event)
    {
        const auto events = 3 * (made_ - told_) / tokens_per_event;
        steps.record_events(events, milliseconds(3 * (now_ms_ - told_ms_)));
        told_ = made_;
        told_ms_ = now_ms_;
    }

    /** A minute with a prompt each second and a slow moment each 10 s. */
    void run_unsteadily(double slowness)
    {
        for (int i = 0; i < 6; ++i) {
            for (int j = 0; j < 9; ++j) {
                run(700, 8);
                run(300, 16, true);
            }
            run(600, 8 * slowness);
            run(400, 8);
            relay_events(4);
        }
    }

    void poll(bool prefilling)
    {
        engine_status status;
        status.memory_total = 20000;
        status.starting = prefilling ? 1 : 0;
        for (int i = 0; i < 3; ++i)
            status.generations.push_back(
                {"stream" + std::to_string(i), 1000 + made_});
        steps.record_poll(status, time_point{std::chrono::hours(1)} +
                                      milliseconds(now_ms_));
    }

    step_times steps;

private:
    int now_ms_ = 0;
    double elapsed_ = 0;
    std::uint64_t made_ = 0;
    std::uint64_t told_ = 0;
    int told_ms_ = 0;
};

constexpr milliseconds prefill{400};

TEST(step_times, are_unknown_without_polls)
{
    const step_times steps;
    EXPECT_EQ(steps.usual_ms(step_kind::decode), 0);
    EXPECT_FALSE(steps.tokens_per_event());
    EXPECT_FALSE(steps.has_slow_moments());
    EXPECT_EQ(steps.late_probability(milliseconds(1), prefill), 0);
}

TEST(step_times, are_learnt_with_and_without_prefill)
{
    polled_engine engine;
    for (int i = 0; i < 10; ++i) {
        engine.run(800, 9.4);
        engine.run(400, 19.5, true);
    }
    EXPECT_NEAR(engine.steps.usual_ms(step_kind::decode), 9.4, 0.4);
    EXPECT_NEAR(engine.steps.usual_ms(step_kind::prefill), 19.5, 1.0);
}

TEST(step_times, learn_how_many_tokens_an_event_holds)
{
    polled_engine engine;
    engine.run_unsteadily(2.5);
    EXPECT_EQ(engine.steps.tokens_per_event(), 4.0);
}

// Guards against a usual duration that slow moments lengthen: what is late in
// a slow moment would then be taken for usual.
TEST(step_times, keep_the_usual_duration_apart_from_slow_moments)
{
    polled_engine engine;
    engine.run_unsteadily(2.5);
    EXPECT_NEAR(engine.steps.usual_ms(step_kind::decode), 8, 0.4);
    EXPECT_NEAR(engine.steps.slow_moments_per_ms(), 1.0 / 10000, 2e-5);
}

TEST(step_times, notice_a_slow_moment_and_its_end)
{
    polled_engine engine;
    engine.run_unsteadily(2.5);
    EXPECT_FALSE(engine.steps.is_slow());
    engine.run(200, 20);
    EXPECT_TRUE(engine.steps.is_slow());
    engine.run(200, 8);
    EXPECT_FALSE(engine.steps.is_slow());
}

// Guards against starts that wait at a steady engine, where counting whole
// steps and the number of streams make the polls differ.
TEST(step_times, see_no_slow_moment_in_the_rounding_of_steps)
{
    for (const double step_ms : {7.0, 9.3, 15.2, 33.0, 60.0}) {
        polled_engine engine;
        std::mt19937_64 random(20261204);
        std::uniform_real_distribution<double> varied(0.9, 1.1);
        for (int i = 0; i < 600; ++i)
            engine.run(100, step_ms * varied(random));
        EXPECT_FALSE(engine.steps.has_slow_moments()) << step_ms;
        EXPECT_EQ(engine.steps.slow_moments_per_ms(), 0) << step_ms;
    }
}

TEST(step_times, expect_late_events_where_slow_moments_pass_the_target)
{
    polled_engine engine;
    engine.run_unsteadily(2.5);
    // An event takes 64 ms beside a prefill, and 160 ms in a slow moment.
    const double late =
        engine.steps.late_probability(milliseconds(130), prefill);
    EXPECT_GT(late, 0.02);
    EXPECT_LT(late, 0.06);
    EXPECT_LT(engine.steps.late_probability(milliseconds(220), prefill), 0.01);
    EXPECT_EQ(engine.steps.late_probability(milliseconds(0), prefill), 0);
    engine.run(300, 20);
    EXPECT_GT(engine.steps.late_probability(milliseconds(130), prefill), 0.8);
}

// Guards against starts that wait without an end at an engine whose events are
// late beside any prefill.
TEST(step_times, expect_no_gain_where_events_are_always_late)
{
    polled_engine engine;
    engine.run_unsteadily(2.5);
    EXPECT_EQ(engine.steps.late_probability(milliseconds(60), prefill), 0);
}

// Guards against an engine that is taken for slow for ever after it was given
// other hardware, or another model.
TEST(step_times, forget_old_samples)
{
    polled_engine engine;
    engine.run_unsteadily(2.5);
    engine.run(300'000, 20);
    EXPECT_FALSE(engine.steps.is_slow());
    EXPECT_NEAR(engine.steps.usual_ms(step_kind::decode), 20, 1);
}

// Guards against counting a generation that stands still, or whose memory
// arrives from another engine.
TEST(step_times, ignore_generations_that_stand_still_or_jump)
{
    step_times steps;
    for (std::uint64_t i = 0; i < 100; ++i) {
        engine_status status;
        status.memory_total = 20000;
        status.generations = {{"a", 100 + 10 * i},
                              {"b", 200 + 10 * i},
                              {"c", 300 + 10 * i},
                              {"still", 400},
                              {"jumps", 100 + 900 * i}};
        steps.record_poll(status, time_point{std::chrono::hours(1)} +
                                      milliseconds(100 * i));
    }
    EXPECT_NEAR(steps.usual_ms(step_kind::decode), 10, 0.3);
}

} // namespace
} // namespace cyclamenrun

#include "slow_engine_fleet.hpp"

#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

using testing_support::slow_engine_fleet;
using testing_support::slow_fleet_results;
using testing_support::slow_fleet_settings;

constexpr std::uint64_t seed = 20261204;

slow_fleet_results run(const slow_fleet_settings& settings,
                       std::uint64_t with_seed = seed)
{
    return slow_engine_fleet(settings, with_seed).run();
}

// Guards against starts that make running streams late: a prompt beside them on
// a slow engine in a slow moment stretches an event to 200 ms.
TEST(slow_engines, make_fewer_streams_late_than_by_least_load)
{
    slow_fleet_settings by_load;
    by_load.gap_target = milliseconds(0);
    int late_by_load = 0;
    int late = 0;
    for (std::uint64_t i = 0; i < 3; ++i) {
        const auto before = run(by_load, seed + i);
        const auto after = run({}, seed + i);
        late_by_load += before.long_with_late_pause;
        late += after.long_with_late_pause;
        EXPECT_GE(after.in_time_share(), before.in_time_share() - 0.005);
    }
    EXPECT_GT(late_by_load, 50);
    EXPECT_LT(late, late_by_load / 2);
}

// Guards against engines that are preferred because they seemed steady by
// chance: where all become slow equally often, they would get all starts.
TEST(slow_engines, make_fewer_streams_late_where_all_become_slow)
{
    slow_fleet_settings settings;
    settings.slow_engines = 0;
    settings.slow_moment_factor = 4;
    int late_by_load = 0;
    int late = 0;
    for (std::uint64_t i = 0; i < 3; ++i) {
        settings.gap_target = milliseconds(180);
        late += run(settings, seed + i).long_with_late_pause;
        settings.gap_target = milliseconds(0);
        late_by_load += run(settings, seed + i).long_with_late_pause;
    }
    EXPECT_LT(late, late_by_load);
}

// Guards against starts that wait for streams while prompts pile up.
TEST(slow_engines, keep_first_parts_in_time_under_load)
{
    slow_fleet_settings settings;
    settings.long_per_s = 21;
    settings.short_per_s = 52;
    settings.duration_ms = 60000;
    const auto after = run(settings);
    settings.gap_target = milliseconds(0);
    const auto before = run(settings);
    EXPECT_GE(after.in_time_share(), before.in_time_share() - 0.01);
}

// Guards against other decisions where there is nothing to be gained: with
// equal and steady engines the starts are those of least load.
TEST(slow_engines, start_as_by_least_load_where_engines_are_equal_and_steady)
{
    slow_fleet_settings settings;
    settings.slow_engines = 0;
    settings.slow_moments_every_ms = 0;
    const auto after = run(settings);
    settings.gap_target = milliseconds(0);
    EXPECT_EQ(run(settings).starts, after.starts);
}

} // namespace
} // namespace cyclamenrun

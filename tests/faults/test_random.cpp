#include "fault_world.hpp"

#include <cstdlib>
#include <gtest/gtest.h>
#include <random>

namespace cyclamenrun::faults
{
namespace
{

constexpr int default_run_count = 400;
constexpr std::uint64_t first_seed = 20261202;

int run_count()
{
    const char* configured = std::getenv("CYCLAMENRUN_SOAK_RUNS");
    return configured == nullptr ? default_run_count : std::atoi(configured);
}

/**
 * Guards against violations of the guarantees (see test_matrix.cpp) when faults
 * overlap. Up to six faults are injected at one step and at random times after
 * it, so that a fault also hits the recovery from an earlier one: a retry, a
 * resume, a restarted agent. Each failure prints its seed, which is sufficient
 * to reproduce it.
 */
TEST(random_faults, every_guarantee_holds)
{
    for (int i = 0; i < run_count(); ++i) {
        const auto seed = first_seed + static_cast<std::uint64_t>(i);
        std::mt19937_64 random(seed);
        const auto draw = [&random](std::size_t count) {
            return static_cast<std::size_t>(random() % count);
        };
        const auto shape = static_cast<work_shape>(draw(shape_names.size()));
        auto at = step::chosen;
        do {
            at = step_table.at(draw(step_table.size())).at;
        } while (!has_step(shape, at));
        std::vector<timed_fault> faults;
        const auto count = 1 + draw(6);
        for (std::size_t fault = 0; fault < count; ++fault)
            faults.push_back({fault_table.at(draw(fault_table.size())).what,
                              milliseconds(draw(2) * draw(7'000))});
        fault_world world(shape);
        world.schedule_faults(at, faults);
        for (const auto& violation : violations_of(world.run()))
            ADD_FAILURE() << violation << "; seed " << seed;
    }
}

} // namespace
} // namespace cyclamenrun::faults

#include "fault_world.hpp"

#include <gtest/gtest.h>
#include <string>

namespace cyclamenrun::faults
{
namespace
{

/**
 * Guards against an outcome that violates the guarantees to callers: each gets
 * the complete answer to its own request, or a refusal that states correctly
 * whether the work ran. Each cell injects two faults together when the work
 * reaches a step; a pair of equal faults is the same fault twice. A failure has
 * its cause in the gate or the relay, since all other parts are fakes.
 */
struct cell {
    work_shape shape = work_shape::stream;
    step at = step::chosen;
    fault first = fault::upstream_dies;
    fault second = fault::upstream_dies;
};

std::string name_of(const cell& tested)
{
    return std::string(shape_names.at(static_cast<std::size_t>(tested.shape))) +
           "__" +
           std::string(
               step_table.at(static_cast<std::size_t>(tested.at)).name) +
           "__" +
           std::string(
               fault_table.at(static_cast<std::size_t>(tested.first)).name) +
           "__" +
           std::string(
               fault_table.at(static_cast<std::size_t>(tested.second)).name);
}

std::vector<cell> all_cells()
{
    std::vector<cell> cells;
    for (std::size_t shape = 0; shape < shape_names.size(); ++shape) {
        for (const auto& at : step_table) {
            if (!has_step(static_cast<work_shape>(shape), at.at))
                continue;
            for (const auto& first : fault_table) {
                for (const auto& second : fault_table)
                    cells.push_back({static_cast<work_shape>(shape), at.at,
                                     first.what, second.what});
            }
        }
    }
    return cells;
}

class fault_matrix : public testing::TestWithParam<cell>
{
};

TEST_P(fault_matrix, every_guarantee_holds)
{
    const auto& tested = GetParam();
    fault_world world(tested.shape);
    world.schedule_faults(tested.at, {{tested.first, {}}, {tested.second, {}}});
    for (const auto& violation : violations_of(world.run()))
        ADD_FAILURE() << violation;
}

INSTANTIATE_TEST_SUITE_P(cells, fault_matrix, testing::ValuesIn(all_cells()),
                         [](const auto& param) {
                             return name_of(param.param);
                         });

class fault_free : public testing::TestWithParam<int>
{
};

TEST_P(fault_free, delivers_the_answer)
{
    fault_world world(static_cast<work_shape>(GetParam()));
    const auto& observed = world.run();
    EXPECT_TRUE(violations_of(observed).empty());
    const bool answered = std::any_of(
        observed.events.begin(), observed.events.end(), [](const event& each) {
            return each.kind == event_kind::end_received ||
                   each.kind == event_kind::answer_received;
        });
    EXPECT_TRUE(answered);
}

INSTANTIATE_TEST_SUITE_P(shapes, fault_free, testing::Range(0, 5));

} // namespace
} // namespace cyclamenrun::faults

#include "configuration_history.hpp"

#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

using violations = std::set<violation>;

// Tests of the checker: each invalid history contains one kind of violation.

TEST(configuration_history, accepts_a_valid_history)
{
    configuration_history history;
    history.record_state("a", 1, "s1", {"x"});
    history.record_state("b", 1, "s1", {"x"});
    history.record_accepted("x", 1);
    history.record_refused("y");
    history.record_state("a", 2, "s2", {"x"});
    EXPECT_EQ(history.violations(), violations{});
}

TEST(configuration_history, finds_a_revision_that_went_back)
{
    configuration_history history;
    history.record_state("a", 2, "s2", {});
    history.record_state("a", 1, "s1", {});
    EXPECT_EQ(history.violations(), violations{violation::revision_went_back});
}

TEST(configuration_history, finds_readers_that_differ)
{
    configuration_history history;
    history.record_state("a", 2, "s2", {});
    history.record_state("b", 2, "other", {});
    EXPECT_EQ(history.violations(), violations{violation::states_differ});
}

TEST(configuration_history, finds_an_accepted_change_lost_later)
{
    configuration_history history;
    history.record_state("a", 1, "s1", {"x"});
    history.record_accepted("x", 1);
    history.record_state("b", 5, "s5", {});
    EXPECT_EQ(history.violations(), violations{violation::accepted_lost});
}

TEST(configuration_history, finds_a_refused_change_in_force)
{
    configuration_history history;
    history.record_refused("x");
    history.record_state("b", 5, "s5", {"x"});
    EXPECT_EQ(history.violations(), violations{violation::refused_in_force});
}

TEST(configuration_history, finds_contradictory_answers)
{
    configuration_history history;
    history.record_refused("x");
    history.record_accepted("x", 4);
    EXPECT_EQ(history.violations(),
              violations{violation::contradictory_answers});
}

} // namespace
} // namespace cyclamenrun

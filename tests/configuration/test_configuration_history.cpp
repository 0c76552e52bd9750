#include "configuration_history.hpp"

#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

using violations = std::set<violation>;

// The checker itself: each forged history shows just one kind of fault.

TEST(configuration_history, passes_a_sound_history)
{
    configuration_history history;
    history.see("a", 1, "s1", {"x"});
    history.see("b", 1, "s1", {"x"});
    history.tell_accepted("x", 1);
    history.tell_refused("y");
    history.see("a", 2, "s2", {"x"});
    EXPECT_EQ(history.violations(), violations{});
}

TEST(configuration_history, finds_a_revision_that_went_back)
{
    configuration_history history;
    history.see("a", 2, "s2", {});
    history.see("a", 1, "s1", {});
    EXPECT_EQ(history.violations(), violations{violation::revision_went_back});
}

TEST(configuration_history, finds_readers_that_differ)
{
    configuration_history history;
    history.see("a", 2, "s2", {});
    history.see("b", 2, "other", {});
    EXPECT_EQ(history.violations(), violations{violation::states_differ});
}

TEST(configuration_history, finds_an_accepted_change_lost_later)
{
    configuration_history history;
    history.see("a", 1, "s1", {"x"});
    history.tell_accepted("x", 1);
    history.see("b", 5, "s5", {});
    EXPECT_EQ(history.violations(), violations{violation::accepted_lost});
}

TEST(configuration_history, finds_a_refused_change_in_force)
{
    configuration_history history;
    history.tell_refused("x");
    history.see("b", 5, "s5", {"x"});
    EXPECT_EQ(history.violations(), violations{violation::refused_in_force});
}

TEST(configuration_history, finds_two_answers_that_clash)
{
    configuration_history history;
    history.tell_refused("x");
    history.tell_accepted("x", 4);
    EXPECT_EQ(history.violations(), violations{violation::told_twice});
}

} // namespace
} // namespace cyclamenrun

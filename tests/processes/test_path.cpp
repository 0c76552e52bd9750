#include "../standins/token_text.hpp"
#include "deployment.hpp"

#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

using testing_support::deployment;
using testing_support::stream_state;

TEST(path, a_generation_and_a_call_are_answered_completely)
{
    deployment system;
    system.add_model("redactor-1", {"--step-ms", "2"});
    system.add_runner("registro-1");
    const auto& entry = system.add_entry("entry-1");
    system.wait_until_ready();

    auto generation = system.generate(entry, "section one", 300);
    generation.read_all();
    EXPECT_EQ(generation.state(), stream_state::complete);
    EXPECT_EQ(generation.text(), stand_in::answer_text("section one", 300));

    // A call that is repeated with its ticket runs once.
    const auto ticket = system.request_ticket(entry);
    const auto first = system.call(entry, ticket);
    const auto again = system.call(entry, ticket);
    ASSERT_TRUE(first && again);
    EXPECT_EQ(first->head.status, 200);
    EXPECT_EQ(again->body, first->body);
    EXPECT_EQ(system.count_events("run"), 1);
}

} // namespace
} // namespace cyclamenrun

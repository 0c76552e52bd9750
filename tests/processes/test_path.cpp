#include "../standins/token_text.hpp"
#include "deployment.hpp"

#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

using testing_support::deployment;
using testing_support::stream_end_kind;

TEST(path, a_generation_and_a_call_are_answered_completely)
{
    deployment system;
    system.add_model("redactor-1", {"--step-ms", "2"});
    system.add_runner("registro-1");
    const auto& entry = system.add_entry("entry-1");
    system.wait_until_ready();

    auto dossier = system.generate(entry, "section one", 300);
    dossier.read_all();
    EXPECT_EQ(dossier.end(), stream_end_kind::complete);
    EXPECT_EQ(dossier.text(), stand_in::answer_text("section one", 300));

    const auto ticket = system.ticket(entry);
    const auto first = system.call(entry, ticket);
    const auto again = system.call(entry, ticket);
    ASSERT_TRUE(first && again);
    EXPECT_EQ(first->head.status, 200);
    EXPECT_EQ(again->body, first->body);
    EXPECT_EQ(system.count_events("run"), 1);
}

} // namespace
} // namespace cyclamenrun

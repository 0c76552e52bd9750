#include "deployment.hpp"

#include <future>
#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

using testing_support::deployment;
using testing_support::stream_state;

// Guards against a deployment that applies its resources before the entry has
// read the platform's log once: the entry would refuse them with not_ready.
// Here the log is unavailable when the entry starts, and available again while
// the deployment waits.
TEST(deployment, waits_until_the_entry_has_read_the_log)
{
    constexpr milliseconds outage(1000);
    deployment system;
    system.platform().set_fault(R"({"log_out":true})");
    system.add_model("redactor-1");
    const auto& entry = system.add_entry("entry-1");
    ASSERT_FALSE(deployment::is_ready(entry));
    auto ready =
        std::async(std::launch::async, [&] { system.wait_until_ready(); });
    EXPECT_EQ(ready.wait_for(outage), std::future_status::timeout);
    system.platform().set_fault(R"({"log_out":false})");
    ASSERT_NO_THROW(ready.get());

    auto stream = system.generate(entry, "first section", 4);
    stream.read_all();
    EXPECT_EQ(stream.state(), stream_state::complete);
}

} // namespace
} // namespace cyclamenrun

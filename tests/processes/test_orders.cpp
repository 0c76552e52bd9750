#include "deployment.hpp"

#include <csignal>
#include <fstream>
#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

using testing_support::deployment;
using testing_support::wait_until;

/**
 * Guards against an accepted assignment that does not reach an engine, or
 * reaches it twice. Each engine of the service receives one order from its own
 * agent. A restarted engine has lost its loaded model and receives the order
 * again.
 */
TEST(orders, reach_each_engine_and_again_when_it_restarts)
{
    deployment system;
    system.add_model("redactor-1");
    system.add_model("redactor-2");
    system.add_entry("entry-1");
    system.wait_until_ready();
    EXPECT_EQ(system.count_events("order"), 0U);

    const Poco::TemporaryFile file;
    std::ofstream(file.path())
        << "[[assignment]]\nname = \"drafts\"\nservice = \"redactor\"\n"
           "model = \"dossier-8b\"\n";
    ASSERT_EQ(system.run_ctl({"apply", "--wait", file.path()}), 0);
    EXPECT_TRUE(wait_until([&] { return system.count_events("order") == 2; }));

    auto& upstream = system.upstream(0);
    upstream.back_end->process().signal(SIGKILL);
    upstream.back_end->process().wait();
    system.restart_back_end(upstream);
    // The restarted engine begins with an empty history, so that the two
    // engines have one order each again.
    EXPECT_TRUE(wait_until([&] { return system.count_events("order") == 2; }));
}

} // namespace
} // namespace cyclamenrun

#include "deployment.hpp"

#include <algorithm>
#include <fstream>
#include <gtest/gtest.h>
#include <iostream>

namespace cyclamenrun
{
namespace
{

using testing_support::deployment;

/** As many upstreams as in one of the users' deployments, and a few entries. */
constexpr int models = 10;
constexpr int runners = 3;
constexpr int entries = 3;

/** Writes a resource file whose deadline differs in each round. */
std::string resource_file(const std::string& path, int round)
{
    std::ofstream(path) << "[[service]]\nname = \"medida\"\n"
                           "kind = \"application\"\n"
                           "default_deadline_ms = "
                        << 1000 + round << '\n';
    return path;
}

// Guards against changes that take long to reach all processes. Agents receive
// changes only from entries, whose heartbeat calls stay open at an agent for as
// long as nothing happens there.
TEST(configuration_spread, change_is_in_force_on_16_processes_within_11_seconds)
{
    constexpr int rounds = 12;
    deployment system;
    for (int i = 0; i < models; ++i)
        system.add_model("redactor-" + std::to_string(i));
    for (int i = 0; i < runners; ++i)
        system.add_runner("registro-" + std::to_string(i));
    for (int i = 0; i < entries; ++i)
        system.add_entry("entry-" + std::to_string(i));
    system.wait_until_ready();

    const Poco::TemporaryFile file;
    std::vector<milliseconds> times;
    for (int round = 0; round < rounds; ++round) {
        const auto start = steady_now();
        // wait_until_ready() has set the operator's key in the environment.
        testing_support::child_process apply(
            "cyclamenrunctl",
            {"--entry", system.entry(0).operator_address, "apply", "--wait",
             resource_file(file.path(), round)});
        ASSERT_EQ(apply.wait_for_line("in force in"), "16 processes");
        times.push_back(
            std::chrono::duration_cast<milliseconds>(steady_now() - start));
    }
    std::sort(times.begin(), times.end());
    std::cout << "apply --wait at 3 entries and 13 agents: median "
              << times[rounds / 2].count() << " ms, maximum "
              << times.back().count() << " ms\n";
    EXPECT_LE(times.back(), milliseconds(11'000));
}

} // namespace
} // namespace cyclamenrun

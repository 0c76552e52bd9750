#include "../support/endless_server.hpp"
#include "../support/peak_memory.hpp"
#include "../support/sanitizer.hpp"
#include "deployment.hpp"

#include <future>
#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

using testing_support::deployment;
using testing_support::endless_answers;
using testing_support::endless_server;
using testing_support::peak_mb;
using testing_support::read_refusal;
using testing_support::sanitized;

// Guards against an agent that ends by itself, and the calls of other callers
// with it: its runner answers many calls with bytes without end.
TEST(agent_program, survives_a_runner_that_sends_bytes_without_end)
{
    // The thread sanitizer bounds the threads that a process ever starts.
    constexpr std::size_t callers = sanitized ? 4 : 32;
    constexpr std::uint64_t most_mb = 128;
    deployment system;
    auto& runner = system.add_runner("registro-1");
    const auto& entry = system.add_entry("entry-1");
    system.wait_until_ready();
    for (const auto& sent : endless_answers()) {
        SCOPED_TRACE(sent.name);
        const endless_server server(sent);
        runner.back_end_link->set_target(server.address());
        std::vector<std::future<std::optional<http_answer>>> calls;
        for (std::size_t at = 0; at < callers; ++at)
            calls.push_back(std::async(std::launch::async, [&] {
                return system.call(entry, "", milliseconds(10000));
            }));
        for (auto& call : calls) {
            const auto answer = call.get();
            ASSERT_TRUE(answer);
            const auto refused = read_refusal(answer->body);
            ASSERT_TRUE(refused) << answer->head.status << answer->body;
            EXPECT_EQ(refused->kind, "outcome_unknown") << answer->body;
        }
        runner.back_end_link->set_target(runner.back_end->address());
        const auto answer = system.call(entry, "");
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->head.status, 200) << answer->body;
    }
    if (sanitized)
        return;
    EXPECT_LT(peak_mb(runner.agent->pid()), most_mb);
    EXPECT_LT(peak_mb(entry.process->pid()), most_mb);
}

} // namespace
} // namespace cyclamenrun

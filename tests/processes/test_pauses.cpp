#include "../standins/token_text.hpp"
#include "deployment.hpp"

#include <gtest/gtest.h>
#include <random>
#include <thread>

namespace cyclamenrun
{
namespace
{

using testing_support::deployment;
using testing_support::stream_state;

constexpr auto prompt = "a stream across pauses";
constexpr std::uint64_t answer_tokens = 1500;

// Guards against an entry or an agent that was paused and then judges the other
// side by the time that it slept through: a stream that breaks, or a link that
// is closed for silence.
TEST(pauses, of_entry_and_agent_break_no_stream_and_no_link)
{
    deployment system;
    auto& upstream = system.add_model("redactor-1", {"--step-ms", "5"});
    const auto& entry = system.add_entry("entry-1");
    system.wait_until_ready();
    auto generation = system.generate(entry, prompt, answer_tokens);
    std::mt19937_64 random(20261203);
    const auto draw = [&](int least, int most) {
        return milliseconds(
            std::uniform_int_distribution<int>(least, most)(random));
    };
    for (const int longest : {100, 400, 3000, 3000}) {
        for (const bool both : {false, true}) {
            entry.process->signal(SIGSTOP);
            if (both)
                upstream.agent->signal(SIGSTOP);
            std::this_thread::sleep_for(draw(longest / 2, longest));
            if (both)
                upstream.agent->signal(SIGCONT);
            entry.process->signal(SIGCONT);
            std::this_thread::sleep_for(draw(0, 300));
        }
    }
    generation.read_all();
    EXPECT_EQ(generation.state(), stream_state::complete);
    EXPECT_EQ(generation.text(), stand_in::answer_text(prompt, answer_tokens));
    EXPECT_NE(system.state_at(entry, "redactor-1").find("live"),
              std::string::npos);
    for (const auto* process : {entry.process.get(), upstream.agent.get()}) {
        const auto log = process->output();
        EXPECT_EQ(log.find("\"event\":\"link_closed\""), std::string::npos)
            << log;
        EXPECT_EQ(log.find("\"event\":\"upstream_lost\""), std::string::npos)
            << log;
    }
}

} // namespace
} // namespace cyclamenrun

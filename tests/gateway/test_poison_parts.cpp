#include "gateway_fleet.hpp"

#include <algorithm>
#include <atomic>
#include <string>
#include <thread>

namespace cyclamenrun::testing_support
{
namespace
{

constexpr unsigned refused = 503;
/** A conviction must need fewer lost upstreams than the users' rule allows. */
constexpr long max_crashes = 4;
/** Pause between two requests of callers. */
constexpr milliseconds request_pause{50};
/** Time after which an engine begins to write. */
constexpr milliseconds prefill_time{20};

class poison_parts : public gateway_fleet
{
protected:
    /** Adds engines that crash when they begin to write on the part `dead`. */
    void add_engines(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            add_to_all(
                "e" + std::to_string(i),
                [this, i](const arrived_request& request,
                          upstream_reply& reply) {
                    std::this_thread::sleep_for(prefill_time);
                    reply.begin_stream(request);
                    if (is_deadly && has_dead_part(request)) {
                        upstreams[i]->crash();
                        return;
                    }
                    reply.event(1);
                    reply.end_stream();
                },
                "model");
    }

    static bool has_dead_part(const arrived_request& request)
    {
        return request.field("Prompt-Prefix").find("dead:") !=
               std::string::npos;
    }

    /** Sends a request that has parts in common with others, and no more. */
    caller_answer send_prompt(std::size_t index, const std::string& parts,
                              const std::string& path = "/gen/x")
    {
        std::this_thread::sleep_for(request_pause);
        const auto number = std::to_string(++prompts);
        return send_to(index, path, "prompt " + number,
                       "Prompt-Prefix: " + parts + ",f" + number + ":20\r\n");
    }

    long crashes() const
    {
        return std::count_if(upstreams.begin(), upstreams.end(),
                             [](const auto& each) { return each->crashed(); });
    }

    int prompts = 0;
    std::atomic<bool> is_deadly = true;
};

// Guards against the loss of a whole service: requests of which no two are
// alike have a part in common that crashes engines.
TEST_F(poison_parts, end_few_engines_whatever_else_the_requests_hold)
{
    start_fleet(3);
    add_engines(12);
    for (std::size_t i = 0; i < 8; ++i)
        (void)send_prompt(i % size(), "a" + std::to_string(i) + ":10,dead:30");
    EXPECT_LE(crashes(), max_crashes);
    for (std::size_t i = 0; i < size(); ++i) {
        const auto answer = send_prompt(i, "b:10,dead:30");
        EXPECT_EQ(answer.status(), refused);
        EXPECT_NE(answer.body.find("poison"), std::string::npos);
    }
    EXPECT_LE(crashes(), max_crashes);
    EXPECT_EQ(send_prompt(0, "b:10,c:30").status(), 200U);
}

// Guards against the same where a gateway retries each lost request itself.
TEST_F(poison_parts, end_few_engines_of_requests_that_are_retried)
{
    start_fleet(3);
    add_engines(12);
    for (std::size_t i = 0; i < 6; ++i)
        (void)send_prompt(i % size(), "a:10,dead:30", "/res/x");
    EXPECT_LE(crashes(), max_crashes);
    EXPECT_EQ(send_prompt(1, "a:10,b:30", "/res/x").status(), 200U);
}

// Guards against the same where the part ran well until then at all gateways.
TEST_F(poison_parts, end_few_engines_of_a_part_that_turns_deadly)
{
    start_fleet(3);
    add_engines(12);
    is_deadly = false;
    for (std::size_t i = 0; i < 2 * size(); ++i)
        EXPECT_EQ(send_prompt(i % size(), "a:10,dead:30").status(), 200U);
    // A run shows that its parts are sound once its engine has lived on.
    std::this_thread::sleep_for(settling_time + milliseconds(200));
    is_deadly = true;
    for (std::size_t i = 0; i < 10; ++i)
        (void)send_prompt(i % size(), "b" + std::to_string(i) + ":10,dead:30");
    EXPECT_LE(crashes(), max_crashes);
    EXPECT_EQ(send_prompt(1, "a:10,b:30").status(), 200U);
}

} // namespace
} // namespace cyclamenrun::testing_support

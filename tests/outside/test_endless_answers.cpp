#include "../support/endless_server.hpp"
#include "http_exchange.hpp"
#include "shared_input_budget.hpp"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <thread>
#include <vector>

namespace cyclamenrun
{
namespace
{

using testing_support::endless_answer;
using testing_support::endless_answers;
using testing_support::endless_server;
using testing_support::scripted_server;

constexpr milliseconds long_limit(20000);

tl::expected<http_answer, http_error> exchange_with(const std::string& address,
                                                    exchange_limits limits)
{
    http_exchange exchange(address, std::move(limits), steady_now);
    return exchange.run(
        {"POST", "/x", "", "", {}, steady_now() + long_limit, true});
}

class endless : public ::testing::TestWithParam<endless_answer>
{
};

// Guards against a process that runs out of memory, and against a thread that
// reads until the deadline: an answer has no end.
TEST_P(endless, answer_is_given_up_as_soon_as_it_exceeds_its_bounds)
{
    const endless_server server(GetParam());
    exchange_limits limits;
    limits.max_answer_bytes = std::size_t(1) << 20;
    const auto start = steady_now();
    const auto answer = exchange_with(server.address(), limits);
    EXPECT_LT(steady_now() - start, long_limit / 2);
    ASSERT_FALSE(answer);
    EXPECT_TRUE(answer.error().failure == http_failure::too_large ||
                answer.error().failure == http_failure::malformed ||
                answer.error().failure == http_failure::lost_mid_answer)
        << name_of(answer.error().failure);
    EXPECT_TRUE(answer.error().may_have_run);
}

INSTANTIATE_TEST_SUITE_P(http_exchange, endless,
                         ::testing::ValuesIn(endless_answers()),
                         [](const auto& tested) { return tested.param.name; });

// Guards against a process that runs out of memory: each answer is within its
// bound, and all together are not.
TEST(http_exchange, answers_together_do_not_exceed_the_budget_of_the_process)
{
    constexpr std::size_t exchanges = 12;
    const endless_server server({"unframed", "HTTP/1.1 200 OK\r\n\r\n", "x"});
    const scripted_server sound(scripted_server::reply(
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"));
    exchange_limits limits;
    limits.max_answer_bytes = std::size_t(16) << 20;
    limits.input = std::make_shared<shared_input_budget>(std::size_t(8) << 20);
    std::array<std::size_t, exchanges> refused{};
    std::vector<std::thread> threads;
    threads.reserve(exchanges);
    for (auto& count : refused)
        threads.emplace_back([&server, &limits, &count] {
            for (int call = 0; call < 5; ++call) {
                const auto answer = exchange_with(server.address(), limits);
                if (!answer && answer.error().failure == http_failure::no_room)
                    ++count;
            }
        });
    std::size_t most = 0;
    for (int call = 0; call < 50; ++call) {
        const auto answer = exchange_with(sound.address(), limits);
        EXPECT_TRUE(answer) << name_of(answer.error().failure);
        most = std::max(most, limits.input->held());
    }
    for (auto& thread : threads)
        thread.join();
    // One read may exceed the limit before its exchange ends.
    constexpr std::size_t reads = exchanges * (std::size_t(16) << 10);
    EXPECT_LE(most, limits.input->limit() + reads);
    EXPECT_EQ(limits.input->held(), 0U);
    EXPECT_EQ(std::count(refused.begin(), refused.end(), 5U), exchanges);
}

} // namespace
} // namespace cyclamenrun

#include "../support/endless_server.hpp"
#include "http_exchange.hpp"

#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

using testing_support::endless_answer;
using testing_support::endless_answers;
using testing_support::endless_server;

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

} // namespace
} // namespace cyclamenrun

#include "../support/endless_server.hpp"
#include "http_client.hpp"
#include "link_loop.hpp"

#include <future>
#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

using testing_support::endless_answer;
using testing_support::endless_answers;
using testing_support::endless_server;

class endless_call : public testing::TestWithParam<endless_answer>
{
protected:
    call_outcome call(const endless_server& server, milliseconds limit)
    {
        std::promise<call_outcome> done;
        loop.post([&] {
            client = std::make_shared<http_client>(
                loop.reactor(), ip_endpoint{"127.0.0.1", server.port()},
                engine_call_limits);
            http_head head;
            head.method = "GET";
            head.target = "/";
            client->call(
                std::move(head), "", loop.reactor()->now() + limit,
                [&](const call_outcome& outcome) { done.set_value(outcome); });
        });
        return done.get_future().get();
    }

    /** Bytes that the process counts after the call. */
    std::size_t held()
    {
        std::promise<std::size_t> held;
        loop.post([&] {
            client.reset();
            held.set_value(loop.reactor()->input()->held());
        });
        return held.get_future().get();
    }

    link_loop loop;
    std::shared_ptr<http_client> client;
};

// Guards against a monitor or gateway that runs out of memory: a health check,
// a load query or an order is answered with bytes without end.
TEST_P(endless_call, fails_as_soon_as_its_answer_exceeds_its_bounds)
{
    constexpr milliseconds limit(20000);
    const endless_server server(GetParam());
    const auto start = steady_now();
    const auto outcome = call(server, limit);
    EXPECT_LT(steady_now() - start, limit / 2);
    EXPECT_FALSE(outcome && is_success(outcome->status));
    EXPECT_EQ(held(), 0U);
}

INSTANTIATE_TEST_SUITE_P(http_client, endless_call,
                         testing::ValuesIn(endless_answers()),
                         [](const auto& tested) { return tested.param.name; });

} // namespace
} // namespace cyclamenrun

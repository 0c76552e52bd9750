#include "../support/scripted_server.hpp"
#include "http_exchange.hpp"
#include "http_reader.hpp"

#include <gtest/gtest.h>
#include <string>

namespace cyclamenrun
{
namespace
{

using testing_support::scripted_server;

std::string answer_text(const std::string& status)
{
    return "HTTP/1.1 " + status + " X\r\nContent-Length: 4\r\n\r\nbody";
}

/** No status of HTTP, or one that only answers a request for an upgrade. */
constexpr const char* invalid_statuses[] = {"000", "001", "099",
                                            "101", "600", "999"};

// Guards against an answer without a valid status that is taken for one, or for
// an interim answer: what follows it is read as the next.
TEST(invalid_statuses, are_no_answers)
{
    for (const auto* status : invalid_statuses) {
        int heads = 0;
        http_reader reader(http_message_kind::response, {},
                           {[&](http_head&&) { ++heads; }, {}, {}});
        const auto read = reader.feed(answer_text(status));
        ASSERT_FALSE(read) << status;
        EXPECT_EQ(read.error(), http_problem::malformed) << status;
        EXPECT_EQ(heads, 0) << status;
    }
    for (const auto* status : {"100", "199", "200", "421", "599"}) {
        http_reader reader(http_message_kind::response, {}, {});
        EXPECT_TRUE(reader.feed(answer_text(status))) << status;
    }
}

// Guards against a caller of an agent that gets such an answer of its runner.
TEST(invalid_statuses, fail_a_call_of_an_agent)
{
    for (const auto* status : invalid_statuses) {
        const scripted_server server(
            scripted_server::reply(answer_text(status)));
        http_exchange exchange(server.address(), {}, steady_now);
        const auto answer =
            exchange.run({"POST",
                          "/x",
                          "text/plain",
                          "body",
                          {},
                          steady_now() + std::chrono::seconds(5)},
                         nullptr);
        ASSERT_FALSE(answer) << status;
        EXPECT_EQ(answer.error().failure, http_failure::malformed) << status;
    }
}

} // namespace
} // namespace cyclamenrun

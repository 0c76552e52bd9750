#include "../support/scripted_server.hpp"
#include "../support/stand_in_process.hpp"
#include "cancellation.hpp"
#include "engine_client.hpp"

#include <gtest/gtest.h>
#include <sstream>
#include <vector>

namespace cyclamenrun
{
namespace
{

using testing_support::scripted_server;
using testing_support::test_limit;

const std::string head = "HTTP/1.1 200 OK\r\n";
const std::string token =
    R"(data: {"id":"r1","choices":[{"text":"a","finish_reason":null}]})"
    "\n\n";
const std::string last_token =
    R"(data: {"id":"r1","choices":[{"text":"","finish_reason":"stop"}]})"
    "\n\n";

std::string chunk(const std::string& bytes)
{
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
}

/** Answers with this body, by each framing that an engine may use. */
std::vector<std::string> answers_with(const std::string& body)
{
    return {head + "Content-Length: " + std::to_string(body.size()) +
                "\r\n\r\n" + body,
            head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) +
                "0\r\n\r\n",
            head + "Connection: close\r\n\r\n" + body};
}

// Guards against a truncated generation that an agent takes for complete: the
// body ends as its framing says, but inside an event, and the engine lives.
TEST(cut_engine_streams, are_lost_though_their_sender_lives)
{
    const std::vector<std::string> bodies{
        token + token.substr(0, token.size() / 2),
        token + last_token.substr(0, last_token.size() - 1),
        token + last_token + "data: [DO",
        token + last_token + "data: [DONE]",
    };
    for (const auto& body : bodies) {
        for (const auto& answer : answers_with(body)) {
            const scripted_server server(scripted_server::reply(answer));
            engine_client client(server.address(), {}, steady_now);
            cancellation cancel;
            const auto result = client.run(
                {"r1", "/v1/completions", "{}", 0, steady_now() + test_limit},
                {[](const std::string&) {}}, cancel);
            ASSERT_FALSE(result) << answer;
            EXPECT_EQ(result.error().failure, engine_failure::lost_mid_stream)
                << answer;
            EXPECT_TRUE(result.error().may_have_run) << answer;
        }
    }
}

} // namespace
} // namespace cyclamenrun

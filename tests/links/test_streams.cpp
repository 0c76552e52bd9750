#include "link_fixture.hpp"

#include <atomic>
#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

/** Answers with the request, reversed. */
void answer_reversed(const std::shared_ptr<server_stream>& stream)
{
    stream->respond_once(
        {stream->request().rbegin(), stream->request().rend()});
}

/** A client and a server, each on its own loop. */
class link_streams : public testing::Test
{
protected:
    void serve(request_handler handler)
    {
        server.emplace(server_loop, any_port(), "key", limits,
                       std::move(handler));
        client =
            link_client::create(client_loop, server->address(), "key", limits);
    }

    link_limits limits;
    link_loop server_loop;
    link_loop client_loop;
    std::optional<link_server> server;
    std::shared_ptr<link_client> client;
};

TEST_F(link_streams, a_request_gets_its_answer)
{
    serve(answer_reversed);
    received_answer answer;
    client->open("/dispatch", "abc", answer.handlers());
    ASSERT_TRUE(answer.wait_end());
    EXPECT_TRUE(answer.wait_end()->clean);
    EXPECT_EQ(answer.frames(), std::vector<std::string>{"cba"});
    EXPECT_TRUE(client->connected());
}

TEST_F(link_streams, a_thousand_streams_each_get_their_own_answer)
{
    serve([](const auto& stream) {
        auto count = std::make_shared<int>(0);
        stream->respond([stream, count](std::size_t) {
            ++*count;
            return pulled{{stream->request()}, *count == 5};
        });
    });
    std::vector<received_answer> answers(1000);
    for (std::size_t i = 0; i < answers.size(); ++i)
        client->open("/dispatch", std::to_string(i), answers[i].handlers());
    for (std::size_t i = 0; i < answers.size(); ++i) {
        ASSERT_TRUE(answers[i].wait_end()) << i;
        EXPECT_TRUE(answers[i].wait_end()->clean) << i;
        EXPECT_EQ(answers[i].frames(),
                  std::vector<std::string>(5, std::to_string(i)));
    }
}

} // namespace
} // namespace cyclamenrun

#include "fake_upstream.hpp"
#include "http_client.hpp"
#include "link_loop.hpp"

#include <future>
#include <gtest/gtest.h>

namespace cyclamenrun::testing_support
{
namespace
{

/** A gateway's own call to a peer whose answer never ends. */
class bounded_calls : public testing::TestWithParam<std::string>
{
protected:
    bounded_calls()
        : peer([this](const arrived_request&, upstream_reply& reply) {
              reply.send(GetParam());
              // The parameter's last byte, repeated.
              const std::string piece(65536, GetParam().back());
              for (int i = 0; i < 1000; ++i) {
                  reply.send(piece);
                  sent += piece.size();
              }
          })
    {
    }

    call_outcome call()
    {
        std::promise<call_outcome> done;
        loop.post([&] {
            client = std::make_shared<http_client>(
                loop.reactor(), peer.address(), directory_call_limits);
            http_head head;
            head.method = "GET";
            head.target = "/";
            client->call(std::move(head), "",
                         loop.reactor()->now() + std::chrono::seconds(8),
                         [&](call_outcome outcome) {
                             held = loop.reactor()->input()->held();
                             done.set_value(std::move(outcome));
                         });
        });
        return done.get_future().get();
    }

    std::atomic<std::size_t> sent = 0;
    std::size_t held = 1; ///< after the call
    fake_upstream peer;
    link_loop loop;
    std::shared_ptr<http_client> client;
};

// Guards against a directory, monitor or engine whose answer fills the memory
// of the process that called it.
TEST_P(bounded_calls, end_when_the_answer_exceeds_its_bound)
{
    const auto outcome = call();
    ASSERT_FALSE(outcome);
    EXPECT_EQ(outcome.error(), call_failure::oversized);
    EXPECT_EQ(held, 0U);
    EXPECT_LE(sent.load(), std::size_t(16) << 20);
}

INSTANTIATE_TEST_SUITE_P(
    answers, bounded_calls,
    testing::Values("HTTP/1.1 200 OK\r\n\r\nx", "HTTP/1.1 200 OK\r\nX: y",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "1;x"));

} // namespace
} // namespace cyclamenrun::testing_support

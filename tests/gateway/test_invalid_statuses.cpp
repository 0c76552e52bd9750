#include "gateway_fixture.hpp"
#include "link_loop.hpp"

#include <future>

namespace cyclamenrun::testing_support
{
namespace
{

/** The script of an upstream that answers with this status line. */
fake_upstream::script answer_with(const std::string& status)
{
    return [status](const arrived_request& request, upstream_reply& reply) {
        reply.send("HTTP/1.1 " + status +
                   "\r\nAttempt-Id: " + request.field("Attempt-Id") +
                   "\r\nResponse-Seal: seal\r\nContent-Length: 4\r\n\r\nbody");
    };
}

class odd_statuses : public gateway_fixture
{
protected:
    ~odd_statuses() override
    {
        gateway.reset();
        upstreams.clear();
    }

    /** Expects the gateway's own 502, at once, on each kind of route. */
    void expect_not_passed_on(const std::string& status)
    {
        start();
        add("u1", answer_with(status));
        add("e1", answer_with(status), "model");
        for (const auto* path : {"/plain/x", "/gen/x"}) {
            const auto began = steady_now();
            const auto answer = send_request(path);
            EXPECT_EQ(answer.status(), 502U) << path;
            EXPECT_EQ(answer.field("Response-Seal"), "") << path;
            EXPECT_LT(steady_now() - began, std::chrono::seconds(3)) << path;
        }
    }
};

// Guards against a caller that waits until its deadline for an answer whose
// head was taken for an interim one.
TEST_F(odd_statuses, below_100_are_not_passed_on)
{
    expect_not_passed_on("000 X");
}

TEST_F(odd_statuses, of_an_upgrade_are_not_passed_on)
{
    expect_not_passed_on("101 X");
}

// Guards against a caller that gets a status that HTTP does not have.
TEST_F(odd_statuses, above_599_are_not_passed_on)
{
    expect_not_passed_on("600 X");
}

// Guards against a status without a reason that is not read.
TEST_F(odd_statuses, without_a_reason_are_passed_on)
{
    start();
    add("u1", answer_with("404 "));
    EXPECT_EQ(send_request("/plain/x").status(), 404U);
}

// Guards against an interim answer to a call of the gateway's own, such as to
// the store, that is taken for the final one.
TEST(interim_answers, precede_the_answer_to_a_call)
{
    fake_upstream server([](const arrived_request&, upstream_reply& reply) {
        reply.send("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n");
        reply.send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
                   "Content-Length: 4\r\n\r\nbody");
    });
    link_loop loop;
    std::promise<call_outcome> done;
    std::shared_ptr<http_client> client;
    loop.post([&] {
        client = std::make_shared<http_client>(loop.reactor(), server.address(),
                                               engine_call_limits);
        http_head head;
        head.method = "GET";
        head.target = "/";
        client->call(
            std::move(head), "", loop.reactor()->now() + milliseconds(2000),
            [&](const call_outcome& outcome) { done.set_value(outcome); });
    });
    const auto outcome = done.get_future().get();
    ASSERT_TRUE(outcome);
    EXPECT_EQ(outcome->status, 200U);
    EXPECT_EQ(outcome->body, "body");
}

} // namespace
} // namespace cyclamenrun::testing_support

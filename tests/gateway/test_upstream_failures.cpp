#include "gateway_fixture.hpp"

#include <future>
#include <thread>

namespace cyclamenrun::testing_support
{
namespace
{

class upstream_failures : public gateway_fixture
{
protected:
    /** A script that fails on the first request to any upstream only. */
    fake_upstream::script fail_once(const fake_upstream::script& fail)
    {
        return [this, fail](const arrived_request& request,
                            upstream_reply& reply) {
            if (!failed.exchange(true))
                fail(request, reply);
            else
                reply.answer(request, 200, "good");
        };
    }

    /** Adds two upstreams that share such a script. */
    void add_two(const fake_upstream::script& fail)
    {
        const auto script = fail_once(fail);
        add("u1", script);
        add("u2", script);
    }

    std::size_t arrivals() const
    {
        std::size_t sum = 0;
        for (const auto& upstream : upstreams)
            sum += upstream->arrived().size();
        return sum;
    }

    std::atomic<bool> failed = false;
};

void reset(const arrived_request&, upstream_reply& reply)
{
    reply.reset();
}

void reject(const arrived_request& request, upstream_reply& reply)
{
    reply.answer(request, 503, "full", "Not-Executed: 1\r\n");
}

// Guards against a duplicate write: the upstream's connection is reset after
// the request was sent, so it may have run. The gateway must not retry it, and
// must not report "not run" to the caller.
TEST_F(upstream_failures, a_request_that_may_have_run_is_not_retried)
{
    start();
    add_two(reset);
    EXPECT_EQ(send_request("/plain/x").status(), 502U);
    EXPECT_EQ(arrivals(), 1U);
}

TEST_F(upstream_failures, an_idempotent_request_is_retried)
{
    start();
    add_two(reset);
    const auto answer = send_request("/safe/x");
    EXPECT_EQ(answer.status(), 200U);
    EXPECT_EQ(answer.body, "good");
    EXPECT_EQ(arrivals(), 2U);
}

TEST_F(upstream_failures, a_rejected_request_is_retried)
{
    start();
    add_two(reject);
    EXPECT_EQ(send_request("/plain/x").status(), 200U);
    EXPECT_EQ(arrivals(), 2U);
}

// Guards against repeated misdirected requests: an upstream has crashed, and
// another process uses its address before the directory removes its record.
TEST_F(upstream_failures, a_replaced_upstream_gets_no_more_requests)
{
    start();
    add("replaced", [](const arrived_request& request, upstream_reply& reply) {
        reply.answer(request, 421, "not me");
    });
    add("live", [](const arrived_request& request, upstream_reply& reply) {
        reply.answer(request, 200, "good");
    });
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(send_request("/plain/x").status(), 200U);
    EXPECT_LE(upstreams[0]->arrived().size(), 1U);
    // A new record makes the upstream usable again.
    auto again = records[0];
    again.started_ms = 7;
    publish_record(again);
    const auto deadline = steady_now() + std::chrono::seconds(5);
    const auto before = upstreams[0]->arrived().size();
    while (upstreams[0]->arrived().size() == before && steady_now() < deadline)
        EXPECT_EQ(send_request("/plain/x").status(), 200U);
    EXPECT_GT(upstreams[0]->arrived().size(), before);
}

TEST_F(upstream_failures, all_reject_and_the_caller_gets_a_retry_delay)
{
    start();
    add("u1", reject);
    add("u2", reject);
    const auto answer = send_request("/plain/x");
    EXPECT_EQ(answer.status(), 503U);
    EXPECT_GT(std::stod(answer.field("Retry-After")), 0.0);
    EXPECT_EQ(answer.field("Response-Seal"), "");
    EXPECT_EQ(arrivals(), 2U);
}

// Guards against a duplicate run: the upstream returns 503 without confirming
// "not run". If the gateway relayed the status, the caller would send the
// request again.
TEST_F(upstream_failures, an_unconfirmed_503_is_not_relayed)
{
    start();
    add("u1", [](const arrived_request& request, upstream_reply& reply) {
        reply.answer(request, 503, "odd");
    });
    EXPECT_EQ(send_request("/plain/x").status(), 502U);
}

TEST_F(upstream_failures, an_upstream_error_is_relayed_unchanged)
{
    start();
    add("u1", [](const arrived_request& request, upstream_reply& reply) {
        reply.answer(request, 500, "broken");
    });
    const auto answer = send_request("/plain/x");
    EXPECT_EQ(answer.status(), 500U);
    EXPECT_EQ(answer.body, "broken");
    EXPECT_EQ(answer.field("Response-Seal"), "seal");
}

TEST_F(upstream_failures, an_unreachable_upstream_fails_no_request)
{
    start();
    add("u1", [](const arrived_request& request, upstream_reply& reply) {
        reply.answer(request, 200, "good");
    });
    auto dead = records[0];
    dead.id = "dead";
    dead.address.port = 1; // nothing listens there
    publish_record(dead);
    wait_for_upstreams(2);
    for (int i = 0; i < 8; ++i)
        EXPECT_EQ(send_request("/plain/x").status(), 200U);
}

// Guards against a truncated answer delivered as complete: the upstream closes
// the connection in the middle of a successful response.
TEST_F(upstream_failures, a_truncated_answer_is_never_delivered_as_complete)
{
    start();
    add("u1", [](const arrived_request& request, upstream_reply& reply) {
        reply.send(
            "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.field("Attempt-Id") +
            "\r\nResponse-Seal: s\r\nContent-Length: 100\r\n\r\nabc");
        reply.close();
    });
    EXPECT_EQ(send_request("/plain/x").status(), 502U);
}

TEST_F(upstream_failures, an_unsealed_success_is_not_delivered)
{
    start();
    add("u1", [](const arrived_request& request, upstream_reply& reply) {
        reply.send(
            "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.field("Attempt-Id") +
            "\r\nContent-Length: 3\r\n\r\nabc");
    });
    EXPECT_EQ(send_request("/plain/x").status(), 502U);
}

TEST_F(upstream_failures, an_invalid_response_is_not_delivered)
{
    start();
    add("u1", [](const arrived_request&, upstream_reply& reply) {
        reply.send("\x01\x02 nonsense\r\n\r\n");
    });
    EXPECT_EQ(send_request("/plain/x").status(), 502U);
}

// Guards against a response that reaches the wrong caller: an upstream sends a
// late response to an earlier request on a reused connection.
TEST_F(upstream_failures, an_answer_to_another_request_reaches_no_caller)
{
    start();
    std::atomic<int> count = 0;
    add("u1", [&](const arrived_request& request, upstream_reply& reply) {
        if (++count > 1)
            reply.send("HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n"
                       "Response-Seal: s\r\nContent-Length: 5\r\n\r\nstale");
        reply.answer(request, 200, "mine " + request.field("Attempt-Id"));
    });
    for (int i = 1; i <= 3; ++i)
        EXPECT_EQ(send_request("/plain/x").body, "mine r" + std::to_string(i));
}

TEST_F(upstream_failures, surplus_bytes_close_the_connection)
{
    start();
    add("u1", [](const arrived_request& request, upstream_reply& reply) {
        reply.answer(request, 200,
                     "mine " + request.field("Attempt-Id") + "\n");
        reply.send("HTTP/1.1 200 OK\r\nResponse-Seal: s\r\n"
                   "Content-Length: 5\r\n\r\nstray");
    });
    for (int i = 1; i <= 3; ++i)
        EXPECT_EQ(send_request("/plain/x").body,
                  "mine r" + std::to_string(i) + "\n");
}

// Guards against a request that is read as part of a body: the upstream answers
// before it has read a long body, and the connection must not be reused.
TEST_F(upstream_failures, a_connection_is_not_reused_after_an_early_answer)
{
    start();
    add("u1", [](const arrived_request& request, upstream_reply& reply) {
        reply.answer(request, 200, "ok");
    });
    // As large as the socket buffers of both sides.
    test_caller caller(gateway->address());
    caller.send(request("/plain/x", "k1", "", std::string(3 << 20, 'x')));
    EXPECT_EQ(caller.read().status(), 200U);
    EXPECT_EQ(send_request("/plain/x").status(), 200U);
}

// Guards against work for a disconnected caller: the gateway must close the
// upstream's connection at once.
TEST_F(upstream_failures, a_disconnected_caller_ends_its_run)
{
    start();
    const auto closed = std::make_shared<std::promise<bool>>();
    auto& upstream =
        add("u1", [closed](const arrived_request&, upstream_reply& reply) {
            closed->set_value(reply.wait_for_close());
        });
    test_caller caller(gateway->address());
    caller.send(request("/plain/x"));
    upstream.wait_for(1);
    const auto disconnected_at = steady_now();
    caller.disconnect();
    EXPECT_TRUE(closed->get_future().get());
    EXPECT_LT(steady_now() - disconnected_at, milliseconds(500));
}

TEST_F(upstream_failures, a_route_timeout_ends_a_wait)
{
    start();
    auto next = configuration();
    next.version = 2;
    next.routes[0].timeout = milliseconds(150);
    apply(next);
    add("u1", [](const arrived_request&, upstream_reply& reply) {
        reply.wait_for_close();
    });
    const auto began = steady_now();
    EXPECT_EQ(send_request("/plain/x").status(), 504U);
    EXPECT_GE(steady_now() - began, milliseconds(140));
    EXPECT_LT(steady_now() - began, milliseconds(600));
}

void never_respond(const arrived_request&, upstream_reply& reply)
{
    reply.wait_for_close();
}

// Guards against waiting until the deadline for an upstream that accepts
// requests and never responds: an idempotent request is retried at another
// upstream.
TEST_F(upstream_failures, an_idempotent_request_leaves_an_unresponsive_upstream)
{
    start();
    auto configured = configuration();
    configured.version = 2;
    configured.routes[1].objective = milliseconds(60);
    apply(configured);
    add_two(never_respond);
    const auto began = steady_now();
    const auto answer = send_request("/safe/x");
    EXPECT_EQ(answer.status(), 200U);
    EXPECT_GE(steady_now() - began, milliseconds(120));
    EXPECT_EQ(arrivals(), 2U);
}

// Guards against further requests to an upstream that never responds: a request
// that is not idempotent may have run there, so it times out, and later
// requests avoid the upstream.
TEST_F(upstream_failures, an_unresponsive_upstream_is_avoided_after_a_timeout)
{
    start();
    auto configured = configuration();
    configured.version = 2;
    configured.routes[0].objective = milliseconds(60);
    configured.routes[0].timeout = milliseconds(300);
    apply(configured);
    add("u1", never_respond);
    add("u2", [](const arrived_request& request, upstream_reply& reply) {
        reply.answer(request, 200, "good");
    });
    unsigned status = 200;
    for (int i = 0; i < 50 && status == 200; ++i)
        status = send_request("/plain/x").status();
    EXPECT_EQ(status, 504U);
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(send_request("/plain/x").status(), 200U);
    EXPECT_EQ(upstreams.front()->arrived().size(), 1U);
}

} // namespace
} // namespace cyclamenrun::testing_support

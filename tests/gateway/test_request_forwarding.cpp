#include "gateway_fixture.hpp"

#include <thread>

namespace cyclamenrun::testing_support
{
namespace
{

class request_forwarding : public gateway_fixture
{
protected:
    /** The request with this many milliseconds to its deadline. */
    static std::string with_deadline(std::string text, const std::string& left)
    {
        const std::string usual = "Deadline-Ms: 9000";
        return text.replace(text.find(usual), usual.size(),
                            "Deadline-Ms: " + left);
    }
};

void answer_with_body(const arrived_request& request, upstream_reply& reply)
{
    reply.answer(request, 200, "echo " + request.body);
}

TEST_F(request_forwarding, requests_and_answers_go_through_unchanged)
{
    start();
    auto& upstream = add("u1", answer_with_body);
    test_caller caller(gateway->address());
    caller.send(request("/plain/x?a=b", "k1", "X-Own: 1\r\n"));
    const auto answer = caller.read();
    EXPECT_EQ(answer.status(), 200U);
    EXPECT_EQ(answer.body, "echo hello");
    EXPECT_EQ(answer.field("Response-Seal"), "seal");
    const auto arrived = upstream.wait_for(1);
    ASSERT_EQ(arrived.size(), 1U);
    EXPECT_EQ(arrived[0].head.target, "/plain/x?a=b");
    EXPECT_EQ(arrived[0].body, "hello");
    EXPECT_EQ(arrived[0].field("X-Own"), "1");
    EXPECT_EQ(arrived[0].field("Tenant"), "north");
    EXPECT_EQ(arrived[0].field("Expect-Instance"), "u1");
    EXPECT_EQ(arrived[0].field("Authorization"), "");
}

TEST_F(request_forwarding, a_connection_serves_one_request_after_another)
{
    start();
    add("u1", answer_with_body);
    test_caller caller(gateway->address());
    // The second request is sent before the answer to the first.
    caller.send(request("/plain/1", "k1", "", "one") +
                request("/plain/2", "k1", "", "two"));
    EXPECT_EQ(caller.read().body, "echo one");
    EXPECT_EQ(caller.read().body, "echo two");
    caller.send(request("/plain/3", "k1", "", "three"));
    EXPECT_EQ(caller.read().body, "echo three");
}

TEST_F(request_forwarding,
       a_malformed_request_is_refused_and_closes_the_connection)
{
    start();
    auto& upstream = add("u1", answer_with_body);
    test_caller caller(gateway->address());
    caller.send("POST /plain/ HTTP/1.1\r\nHost: test.example\r\n"
                "Attempt-Id: a\r\nContent-Length: 3\r\n"
                "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
                request("/plain/hidden"));
    const auto answer = caller.read();
    EXPECT_EQ(answer.status(), 400U);
    EXPECT_EQ(answer.field("Connection"), "close");
    EXPECT_TRUE(upstream.arrived().empty());
}

// Guards against connections held open by half a request: the header timeout
// applies, not the longer timeout of an idle connection.
TEST_F(request_forwarding, half_a_request_is_closed_after_the_header_timeout)
{
    start();
    auto limited = configuration();
    limited.version = 2;
    limited.limits.header_timeout = milliseconds(100);
    limited.limits.idle_timeout = milliseconds(60000);
    apply(limited);
    test_caller caller(gateway->address());
    const auto began = steady_now();
    caller.send("POST /plain/x HTTP/1.1\r\nHost: te");
    EXPECT_FALSE(caller.read().whole);
    EXPECT_LT(steady_now() - began, milliseconds(5000));
}

// Guards against a 404 or 401 from a process that has just started and has no
// configuration yet; callers would not retry, although route and key exist.
TEST_F(request_forwarding, a_process_without_a_configuration_is_not_ready)
{
    start(false);
    EXPECT_EQ(readiness(), 503U);
    const auto answer = send_request("/plain/x");
    EXPECT_EQ(answer.status(), 503U);
    EXPECT_NE(answer.field("Retry-After"), "");
    apply(configuration());
    add("u1", answer_with_body);
    EXPECT_EQ(readiness(), 200U);
    EXPECT_EQ(send_request("/plain/x").status(), 200U);
}

TEST_F(request_forwarding, routes_and_keys_are_those_of_the_newest_version)
{
    start();
    add("u1", answer_with_body);
    EXPECT_EQ(send_request("/other/x").status(), 404U);
    EXPECT_EQ(send_request("/plain/x", "wrong").status(), 401U);
    auto next = configuration();
    next.version = 3;
    next.teams[0].keys = {secret("k2")};
    next.routes[0].path_prefix = "/other/";
    apply(next);
    EXPECT_EQ(send_request("/plain/x", "k2").status(), 404U);
    EXPECT_EQ(send_request("/other/x", "k2").status(), 200U);
    EXPECT_EQ(send_request("/other/x", "k1").status(), 401U);
}

// Guards against the return of a revoked key: an older version arrives after a
// newer one, for example from a record that is read twice.
TEST_F(request_forwarding, an_older_configuration_is_ignored)
{
    start();
    add("u1", answer_with_body);
    auto next = configuration();
    next.version = 3;
    next.teams[0].keys = {secret("k2")};
    apply(next);
    configurations->push(configuration());
    auto marker = next;
    marker.version = 4;
    apply(marker);
    EXPECT_EQ(send_request("/plain/x", "k1").status(), 401U);
    EXPECT_EQ(send_request("/plain/x", "k2").status(), 200U);
}

// Guards against the use of revoked keys: the directory does not respond for
// longer than the lease on the configuration.
TEST_F(request_forwarding, an_expired_configuration_refuses_all_requests)
{
    settings.configuration_lease = milliseconds(900);
    settings.configuration_wait = milliseconds(100);
    start();
    add("u1", answer_with_body);
    EXPECT_EQ(send_request("/plain/x").status(), 200U);
    std::this_thread::sleep_for(milliseconds(900));
    EXPECT_EQ(send_request("/plain/x").status(), 503U);
    EXPECT_EQ(readiness(), 503U);
}

TEST_F(request_forwarding, a_missing_upstream_is_refused_at_once)
{
    start();
    const auto began = steady_now();
    const auto answer = send_request("/plain/x");
    EXPECT_EQ(answer.status(), 503U);
    EXPECT_LT(steady_now() - began, milliseconds(1000));
}

TEST_F(request_forwarding, leaving_upstreams_get_no_new_requests)
{
    start();
    auto& leaving = add("u1", answer_with_body);
    auto& staying = add("u2", answer_with_body);
    drain("u1");
    send_request("/plain/0"); // allows time to read the directory
    std::this_thread::sleep_for(milliseconds(100));
    const auto before = leaving.arrived().size();
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(send_request("/plain/x").status(), 200U);
    EXPECT_EQ(leaving.arrived().size(), before);
    EXPECT_GE(staying.arrived().size(), 10U);
}

TEST_F(request_forwarding, a_planned_stop_completes_running_requests)
{
    start();
    std::atomic<bool> may_answer = false;
    auto& upstream =
        add("u1", [&](const arrived_request& request, upstream_reply& reply) {
            while (!may_answer)
                std::this_thread::sleep_for(milliseconds(5));
            reply.answer(request, 200, "late");
        });
    test_caller caller(gateway->address());
    caller.send(request("/plain/x"));
    upstream.wait_for(1);
    bool clean = false;
    std::thread stop([&] { clean = gateway->drain(); });
    std::this_thread::sleep_for(milliseconds(150));
    EXPECT_EQ(readiness(), 503U);
    may_answer = true;
    const auto answer = caller.read();
    EXPECT_EQ(answer.status(), 200U);
    EXPECT_EQ(answer.field("Connection"), "close");
    stop.join();
    EXPECT_TRUE(clean);
}

// Guards against a connection that ends without an answer: its request was
// being sent when the stop began, and nothing else ran.
TEST_F(request_forwarding, serves_a_request_that_is_being_sent_in_a_stop)
{
    settings.stop_grace_s = 4;
    settings.balancer_wait = milliseconds(100);
    start();
    add("u1", answer_with_body);
    // What may be repeated has time beyond the stop, an order need not.
    const std::vector texts = {request("/safe/x"),
                               with_deadline(request("/plain/x"), "1500")};
    std::vector<std::unique_ptr<test_caller>> callers;
    for (const auto& text : texts) {
        callers.push_back(std::make_unique<test_caller>(gateway->address()));
        callers.back()->send(text.substr(0, text.size() - 2));
    }
    bool clean = false;
    std::atomic<bool> ended = false;
    std::thread stop([&] {
        clean = gateway->drain();
        ended = true;
    });
    std::this_thread::sleep_for(milliseconds(600));
    EXPECT_FALSE(ended);
    for (std::size_t i = 0; i < texts.size(); ++i)
        callers[i]->send(texts[i].substr(texts[i].size() - 2));
    for (const auto& caller : callers)
        EXPECT_EQ(caller->read().status(), 200U);
    stop.join();
    EXPECT_TRUE(clean);
}

// Guards against a 502 at the end of a stop: requests that come late and
// usually take longer than the process has left are passed on.
TEST_F(request_forwarding, refuses_what_can_not_end_before_the_process_exits)
{
    constexpr milliseconds usual{900};
    settings.stop_grace_s = 3;
    settings.balancer_wait = milliseconds(100);
    start();
    auto& upstream = add(
        "u1", [usual](const arrived_request& request, upstream_reply& reply) {
            std::this_thread::sleep_for(usual);
            reply.answer(request, 200, "slow");
        });
    EXPECT_EQ(send_request("/plain/x").status(), 200U);
    test_caller late(gateway->address());
    const auto text = request("/plain/x");
    late.send(text.substr(0, text.size() - 2));
    std::thread stop([&] { (void)gateway->drain(); });
    std::this_thread::sleep_for(milliseconds(1800));
    late.send(text.substr(text.size() - 2));
    const auto answer = late.read();
    stop.join();
    EXPECT_EQ(answer.status(), 503U);
    EXPECT_NE(answer.field("Retry-After"), "");
    EXPECT_EQ(upstream.arrived().size(), 1U);
}

// Guards against a 502 at the end of a stop: an order takes longer than its
// route's usual answers and longer than the process has left.
TEST_F(request_forwarding, refuses_in_a_stop_what_may_not_end_in_it)
{
    settings.stop_grace_s = 3;
    settings.balancer_wait = milliseconds(100);
    start();
    std::atomic<bool> slow = false;
    auto& upstream = add(
        "u1", [&slow](const arrived_request& request, upstream_reply& reply) {
            if (slow)
                std::this_thread::sleep_for(milliseconds(2500));
            reply.answer(request, 200, "hello");
        });
    EXPECT_EQ(send_request("/plain/x").status(), 200U);
    slow = true;
    test_caller late(gateway->address());
    const auto text = request("/plain/x");
    late.send(text.substr(0, text.size() - 2));
    std::thread stop([&] { (void)gateway->drain(); });
    std::this_thread::sleep_for(milliseconds(1000));
    late.send(text.substr(text.size() - 2));
    const auto answer = late.read();
    stop.join();
    EXPECT_EQ(answer.status(), 503U);
    EXPECT_NE(answer.field("Retry-After"), "");
    EXPECT_EQ(upstream.arrived().size(), 1U);
}

// Guards against a stream that a stop cuts: half of the streams with its limit
// of tokens would end before the process does.
TEST_F(request_forwarding, refuses_streams_in_a_stop_by_their_longest_duration)
{
    settings.stop_grace_s = 4;
    settings.balancer_wait = milliseconds(2000);
    start();
    auto& upstream = add(
        "u1",
        [](const arrived_request& request, upstream_reply& reply) {
            reply.begin_stream(request);
            reply.event(1);
            reply.end_stream();
        },
        "model");
    std::thread stop([&] { (void)gateway->drain(); });
    while (readiness() == 200U)
        std::this_thread::sleep_for(milliseconds(5));
    const auto answer_for = [this](const std::string& tokens) {
        auto text = request("/gen/x");
        const std::string usual = "100,4000";
        text.replace(text.find(usual), usual.size(), "100," + tokens);
        test_caller caller(gateway->address());
        caller.send(text);
        return caller.read().status();
    };
    EXPECT_EQ(answer_for("600"), 503U);
    EXPECT_EQ(answer_for("100"), 200U);
    stop.join();
    EXPECT_EQ(upstream.arrived().size(), 1U);
}

// Guards against a lost request: it follows a stream whose head went out
// before the stop, so that nothing told its caller of the stop.
TEST_F(request_forwarding,
       serves_the_request_after_a_stream_that_ends_in_a_stop)
{
    settings.balancer_wait = milliseconds(50);
    start();
    std::atomic<bool> may_end = false;
    add("u1", answer_with_body);
    add(
        "u2",
        [&](const arrived_request& request, upstream_reply& reply) {
            reply.begin_stream(request);
            reply.event(1);
            while (!may_end)
                std::this_thread::sleep_for(milliseconds(5));
            reply.end_stream();
        },
        "model");
    test_caller caller(gateway->address());
    caller.send(request("/gen/x"));
    EXPECT_TRUE(caller.wait_for_body("data"));
    bool clean = false;
    std::thread stop([&] { clean = gateway->drain(); });
    std::this_thread::sleep_for(milliseconds(300));
    may_end = true;
    EXPECT_TRUE(caller.read().whole);
    caller.send(with_deadline(request("/plain/x"), "1000"));
    const auto answer = caller.read();
    stop.join();
    EXPECT_EQ(answer.status(), 200U);
    EXPECT_EQ(answer.field("Connection"), "close");
    EXPECT_TRUE(clean);
}

} // namespace
} // namespace cyclamenrun::testing_support

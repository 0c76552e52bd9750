#include "gateway_fixture.hpp"
#include "generating_engine.hpp"

#include <thread>

namespace cyclamenrun::testing_support
{
namespace
{

void serve(const arrived_request& request, upstream_reply& reply)
{
    reply.answer(request, 200, "good");
}

class resting_upstreams : public gateway_fixture
{
protected:
    /** Ends the scripts' threads before the members that they use. */
    ~resting_upstreams() override
    {
        gateway.reset();
        upstreams.clear();
    }

    /** Adds an upstream that rejects all requests and asks for rest. */
    fake_upstream& add_resting(const std::string& id, const std::string& rest,
                               const std::string& service = "app")
    {
        return add(
            id,
            [rest](const arrived_request& request, upstream_reply& reply) {
                reply.ask_for_rest(request, rest);
            },
            service);
    }

    /** Sends requests until one has reached the upstream. */
    void send_until_reached(const fake_upstream& upstream,
                            const std::string& path)
    {
        for (int i = 0; i < 50 && upstream.arrived().empty(); ++i)
            send_request(path);
        ASSERT_EQ(upstream.arrived().size(), 1U);
    }

    std::atomic<bool> restarted = false;
    std::atomic<bool> overloaded = false; ///< asks for rest once
};

// Guards against an upstream that is overrun although it has asked for rest:
// rejections are quick, so that it looks like the idlest one.
TEST_F(resting_upstreams, get_no_requests_until_the_end_of_their_rest)
{
    start();
    const auto& resting = add_resting("u1", "1.5");
    add("u2", serve);
    send_until_reached(resting, "/plain/x");
    const auto rest_end = steady_now() + milliseconds(1400);
    while (steady_now() < rest_end) {
        EXPECT_EQ(send_request("/plain/x").status(), 200U);
        std::this_thread::sleep_for(milliseconds(10));
    }
    EXPECT_EQ(resting.arrived().size(), 1U);
    std::this_thread::sleep_for(milliseconds(200));
    for (int i = 0; i < 50 && resting.arrived().size() == 1; ++i)
        EXPECT_EQ(send_request("/plain/x").status(), 200U);
    EXPECT_EQ(resting.arrived().size(), 2U);
}

// Guards against callers that wait for nothing, and against ones that return
// before the rest has ended: all upstreams of the service rest.
TEST_F(resting_upstreams, all_at_rest_are_a_refusal_at_once_with_their_delay)
{
    start();
    const auto& first = add_resting("u1", "30");
    const auto& second = add_resting("u2", "20");
    for (int i = 0; i < 5; ++i) {
        const auto began = steady_now();
        const auto answer = send_request("/plain/x");
        EXPECT_EQ(answer.status(), 503U);
        EXPECT_LT(steady_now() - began, milliseconds(500));
        const auto delay = std::stod(answer.field("Retry-After"));
        EXPECT_GE(delay, 18.0);
        EXPECT_LE(delay, 26.0);
    }
    EXPECT_EQ(first.arrived().size(), 1U);
    EXPECT_EQ(second.arrived().size(), 1U);
}

// Guards against a restarted upstream that is not used, since its predecessor
// has asked for rest.
TEST_F(resting_upstreams, that_restart_get_requests_at_once)
{
    start();
    add("u1", [this](const arrived_request& request, upstream_reply& reply) {
        if (restarted)
            serve(request, reply);
        else
            reply.ask_for_rest(request, "60");
    });
    EXPECT_EQ(send_request("/plain/x").status(), 503U);
    restarted = true;
    auto again = records[0];
    again.started_ms = 7;
    publish_record(again);
    const auto deadline = steady_now() + std::chrono::seconds(5);
    unsigned status = 503;
    while (status != 200 && steady_now() < deadline)
        status = send_request("/plain/x").status();
    EXPECT_EQ(status, 200U);
}

// Guards against queries, copies and backups at an engine that wants nothing.
TEST_F(resting_upstreams, get_no_queries_copies_or_continuations)
{
    start();
    auto& resting = add_resting("e1", "30", "model");
    resting.rejects_load_requests = false;
    while (resting.arrived().empty())
        EXPECT_EQ(send_request("/gen/x").status(), 503U);
    const auto before = resting.arrived().size();
    const auto source = std::make_shared<generating_engine>();
    source->hold_before = 5;
    add("e2", script_of(source), "model");
    test_caller caller(gateway->address());
    caller.send(request("/gen/x"));
    ASSERT_TRUE(caller.wait_for_body(events(1, 4)));
    drain("e2");
    std::this_thread::sleep_for(milliseconds(300));
    source->hold_before = 1000;
    EXPECT_TRUE(caller.read().whole);
    EXPECT_EQ(source->orders, 0);
    EXPECT_EQ(resting.arrived().size(), before);
}

// Guards against orders to copy at an engine that wants nothing, and against a
// generation that is not moved after the rest.
TEST_F(resting_upstreams, delay_the_move_of_a_generation_off_them)
{
    start();
    const auto first = std::make_shared<generating_engine>();
    const auto second = std::make_shared<generating_engine>();
    first->hold_before = 5;
    const auto& source = add(
        "e1",
        [this, first](const arrived_request& request, upstream_reply& reply) {
            if (overloaded.exchange(false))
                reply.ask_for_rest(request, "0.6");
            else
                first->respond(request, reply);
        },
        "model");
    test_caller caller(gateway->address());
    caller.send(request("/gen/x"));
    ASSERT_TRUE(caller.wait_for_body(events(1, 4)));
    overloaded = true;
    const auto asked = steady_now();
    EXPECT_EQ(send_request("/gen/x").status(), 503U);
    add("e2", script_of(second), "model");
    drain("e1");
    const auto answer = caller.read();
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.body, events(1, generating_engine::last_event));
    EXPECT_GE(steady_now() - asked, milliseconds(600));
    EXPECT_EQ(first->orders, 2);
    EXPECT_EQ(source.arrived().size(), 4U);
}

/** The destination of a move asks for rest after the copy. */
class resting_destinations : public gateway_fixture
{
protected:
    ~resting_destinations() override
    {
        gateway.reset();
        upstreams.clear();
    }

    caller_answer move_to_resting(const std::string& rest)
    {
        start();
        first->hold_before = 5;
        add("e1", script_of(first), "model");
        test_caller caller(gateway->address());
        caller.send(request("/gen/x"));
        EXPECT_TRUE(caller.wait_for_body(events(1, 4)));
        add(
            "e2",
            [this, rest](const arrived_request& request,
                         upstream_reply& reply) {
                if (overloaded.exchange(false))
                    reply.ask_for_rest(request, rest);
                else
                    second->respond(request, reply);
            },
            "model");
        first->on_stop = [this] {
            EXPECT_EQ(send_request("/gen/x").status(), 503U);
        };
        began = steady_now();
        drain("e1");
        return caller.read();
    }

    std::shared_ptr<generating_engine> first =
        std::make_shared<generating_engine>();
    std::shared_ptr<generating_engine> second =
        std::make_shared<generating_engine>();
    std::atomic<bool> overloaded = true;
    time_point began;
};

// Guards against a lost generation, and against a request to an engine that
// wants none.
TEST_F(resting_destinations, delay_a_continuation)
{
    const auto answer = move_to_resting("0.6");
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.body, events(1, generating_engine::last_event));
    EXPECT_GE(steady_now() - began, milliseconds(600));
    EXPECT_EQ(upstreams[1]->arrived().size(), 2U);
}

// Guards against a caller that waits until its deadline for nothing.
TEST_F(resting_destinations, end_a_generation_whose_deadline_comes_first)
{
    const auto answer = move_to_resting("60");
    EXPECT_FALSE(answer.whole);
    EXPECT_EQ(answer.body, events(1, 4));
    EXPECT_LT(steady_now() - began, milliseconds(3000));
    EXPECT_EQ(upstreams[1]->arrived().size(), 1U);
}

class leaving_upstreams : public gateway_fixture
{
};

// Guards against work for an upstream that ends soon: it says so in an answer,
// and the directory lists it as usable, again and again.
TEST_F(leaving_upstreams, get_no_new_requests_whatever_the_directory_says)
{
    start();
    auto& leaving =
        add("u1", [](const arrived_request& request, upstream_reply& reply) {
            reply.answer(request, 200, "good", leaving_field);
        });
    add("u2", serve);
    while (leaving.arrived().empty())
        EXPECT_EQ(send_request("/plain/x").status(), 200U);
    for (int i = 0; i < 20; ++i) {
        if (i == 10) {
            auto record = records[0];
            record.slots = 9;
            publish_record(record);
            remove_upstream("u1");
            publish_record(record);
            std::this_thread::sleep_for(milliseconds(50));
        }
        EXPECT_EQ(send_request("/plain/x").status(), 200U);
    }
    EXPECT_EQ(leaving.arrived().size(), 1U);
}

// Guards against a generation that is lost with its engine: the engine's own
// answer says that it leaves, before the directory or a monitor does.
TEST_F(leaving_upstreams, lose_no_generation)
{
    start();
    const auto first = std::make_shared<generating_engine>();
    const auto second = std::make_shared<generating_engine>();
    first->says_leaving = true;
    first->hold_before = 5;
    add("e1", script_of(first), "model");
    test_caller caller(gateway->address());
    caller.send(request("/gen/x"));
    ASSERT_TRUE(caller.wait_for_body(events(1, 4)));
    const auto& destination = add("e2", script_of(second), "model");
    // Ends the test if the generation is not moved.
    std::this_thread::sleep_for(milliseconds(500));
    first->hold_before = 1000;
    const auto answer = caller.read();
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.body, events(1, generating_engine::last_event));
    EXPECT_EQ(destination.arrived().size(), 1U);
}

} // namespace
} // namespace cyclamenrun::testing_support

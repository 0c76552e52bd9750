#include "gateway_fixture.hpp"
#include "generating_engine.hpp"

namespace cyclamenrun::testing_support
{
namespace
{

constexpr int last_event = 3;

/** Answers that end with their connection, as gateways relay them. */
class unframed_answers : public gateway_fixture
{
protected:
    /** Ends the scripts' threads before the members that they use. */
    ~unframed_answers() override
    {
        gateway.reset();
        upstreams.clear();
    }

    /** Adds an engine whose streams end as `end` says after `last_event`. */
    fake_upstream& add_engine(const std::function<void(upstream_reply&)>& end)
    {
        return add(
            "e1",
            [end](const arrived_request& request, upstream_reply& reply) {
                reply.begin_unframed(request);
                for (int id = 1; id <= last_event; ++id)
                    reply.event(id);
                end(reply);
            },
            "model");
    }

    std::atomic<int> begun = 0; ///< requests, by a script that counts them
};

// Guards against a truncated stream that looks complete: the engine closes the
// connection in the middle of an event.
TEST_F(unframed_answers, a_stream_that_ends_inside_an_event_is_not_completed)
{
    start();
    add_engine([](upstream_reply& reply) {
        reply.send("id: 4\ndata: tok");
        reply.close();
    });
    const auto answer = send_request("/gen/x");
    EXPECT_FALSE(answer.whole);
    EXPECT_EQ(answer.body, events(1, last_event));
}

// Guards against a truncated stream that looks complete: the engine's process
// crashes between two events, so that its host closes the connection.
TEST_F(unframed_answers, a_stream_that_a_crash_ends_is_not_completed)
{
    start();
    add_engine([this](upstream_reply&) { upstreams.front()->crash(); });
    const auto answer = send_request("/gen/x");
    EXPECT_FALSE(answer.whole);
    EXPECT_EQ(answer.body, events(1, last_event));
}

// Guards against an answer that claims more than is known of it: the engine
// closes the connection between two events and lives on.
TEST_F(unframed_answers, a_stream_of_unknown_end_is_not_framed_as_complete)
{
    start();
    add_engine([](upstream_reply& reply) { reply.end_stream(); });
    const auto answer = send_request("/gen/x");
    EXPECT_EQ(answer.body, events(1, last_event));
    EXPECT_FALSE(answer.head.chunked);
    EXPECT_TRUE(answer.head.ends_with_connection);
}

TEST_F(unframed_answers, a_plain_answer_of_unknown_end_gets_no_length)
{
    start();
    add("u1", [](const arrived_request& request, upstream_reply& reply) {
        reply.begin_unframed(request, "text/plain");
        reply.send("good");
        reply.close();
    });
    const auto answer = send_request("/plain/x");
    EXPECT_EQ(answer.status(), 200U);
    EXPECT_EQ(answer.body, "good");
    EXPECT_TRUE(answer.head.ends_with_connection);
    EXPECT_EQ(answer.field("Content-Length"), "");
}

// Guards against a truncated plain answer that is delivered: the process of the
// upstream crashes while it sends.
TEST_F(unframed_answers, a_plain_answer_that_a_crash_ends_is_not_delivered)
{
    start();
    add("u1", [this](const arrived_request& request, upstream_reply& reply) {
        reply.begin_unframed(request, "text/plain");
        reply.send("hal");
        upstreams.front()->crash();
    });
    EXPECT_EQ(send_request("/plain/x").status(), 502U);
}

// Guards against a lost answer: what a crash ended may run again, and does.
TEST_F(unframed_answers, an_idempotent_request_is_retried_after_a_crash)
{
    start();
    const auto script = [this](const arrived_request& request,
                               upstream_reply& reply) {
        if (begun++ > 0) {
            reply.answer(request, 200, "whole");
            return;
        }
        reply.begin_unframed(request, "text/plain");
        reply.send("hal");
        for (const auto& each : upstreams)
            if (each->arrived().size() == 1)
                each->crash();
    };
    add("u1", script);
    add("u2", script);
    const auto answer = send_request("/safe/x");
    EXPECT_EQ(answer.status(), 200U);
    EXPECT_EQ(answer.body, "whole");
    EXPECT_EQ(answer.field("Content-Length"), "5");
}

class unframed_generations : public gateway_fixture
{
protected:
    std::shared_ptr<generating_engine> add_engine(const std::string& id,
                                                  bool unframed)
    {
        auto engine = std::make_shared<generating_engine>();
        engine->unframed = unframed;
        add(id, script_of(engine), "model");
        return engine;
    }

    static std::string all_events()
    {
        return events(1, generating_engine::last_event);
    }
};

// Guards against a truncated stream that looks complete: an engine that is
// stopped for a move closes its stream, which has no framing, after an event.
TEST_F(unframed_generations, a_stopped_source_does_not_complete_the_stream)
{
    start();
    const auto first = add_engine("e1", true);
    first->hold_before = 5;
    test_caller caller(gateway->address());
    caller.send(request("/gen/x"));
    ASSERT_TRUE(caller.wait_for_body(events(1, 4)));
    add_engine("e2", false);
    drain("e1");
    const auto answer = caller.read();
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.body, all_events());
    EXPECT_TRUE(answer.head.ends_with_connection);
}

// Guards against a last chunk that claims more than is known: the caller's
// stream was begun in chunks, and the engine that continues it uses no framing.
TEST_F(unframed_generations, a_continuation_of_unknown_end_gets_no_last_chunk)
{
    start();
    const auto first = add_engine("e1", false);
    first->hold_before = 5;
    test_caller caller(gateway->address());
    caller.send(request("/gen/x"));
    ASSERT_TRUE(caller.wait_for_body(events(1, 4)));
    add_engine("e2", true);
    drain("e1");
    const auto answer = caller.read();
    EXPECT_FALSE(answer.whole);
    EXPECT_EQ(answer.body, all_events());
}

} // namespace
} // namespace cyclamenrun::testing_support

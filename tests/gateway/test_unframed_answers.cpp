#include "gateway_fixture.hpp"

namespace cyclamenrun::testing_support
{
namespace
{

constexpr int last_event = 3;

std::string events(int last)
{
    std::string text;
    for (int id = 1; id <= last; ++id)
        text += event_text(id);
    return text;
}

/** Answers that end with their connection, as gateways relay them. */
class unframed_answers : public gateway_fixture
{
protected:
    /** Adds an engine whose streams end as `end` says after `last_event`. */
    fake_upstream& add_engine(std::function<void(upstream_reply&)> end)
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
    EXPECT_EQ(answer.body, events(last_event));
}

// Guards against a truncated stream that looks complete: the engine's process
// crashes between two events, so that its host closes the connection.
TEST_F(unframed_answers, a_stream_that_a_crash_ends_is_not_completed)
{
    start();
    fake_upstream* engine = nullptr;
    engine = &add_engine([&](upstream_reply&) { engine->crash(); });
    const auto answer = send_request("/gen/x");
    EXPECT_FALSE(answer.whole);
    EXPECT_EQ(answer.body, events(last_event));
}

// Guards against an answer that claims more than is known of it: the engine
// closes the connection between two events and lives on.
TEST_F(unframed_answers, a_stream_of_unknown_end_is_not_framed_as_complete)
{
    start();
    add_engine([](upstream_reply& reply) { reply.end_stream(); });
    const auto answer = send_request("/gen/x");
    EXPECT_EQ(answer.body, events(last_event));
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
    fake_upstream* upstream = nullptr;
    upstream =
        &add("u1", [&](const arrived_request& request, upstream_reply& reply) {
            reply.begin_unframed(request, "text/plain");
            reply.send("hal");
            upstream->crash();
        });
    EXPECT_EQ(send_request("/plain/x").status(), 502U);
}

} // namespace
} // namespace cyclamenrun::testing_support

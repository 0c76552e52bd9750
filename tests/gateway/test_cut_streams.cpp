#include "gateway_fixture.hpp"
#include "http_text.hpp"

namespace cyclamenrun::testing_support
{
namespace
{

constexpr int last_event = 3;
const std::string partial_event = "id: 4\ndata: tok";

/** How an engine says where the body of its answer ends. */
enum class framing { length, chunked, connection };

std::string complete_events()
{
    std::string text;
    for (int id = 1; id <= last_event; ++id)
        text += event_text(id);
    return text;
}

void send_cut_stream(framing how, const arrived_request& request,
                     upstream_reply& reply)
{
    const auto body = complete_events() + partial_event;
    switch (how) {
    case framing::length:
        reply.answer(request, 200, body, "Content-Type: text/event-stream\r\n");
        return;
    case framing::chunked:
        reply.begin_stream(request);
        reply.send(chunk_text(body));
        reply.end_stream();
        return;
    case framing::connection:
        reply.begin_unframed(request);
        reply.send(body);
        reply.close();
        return;
    }
}

/** Streams whose body ends as its framing says, but inside an event. */
class cut_streams : public gateway_fixture
{
protected:
    ~cut_streams() override
    {
        gateway.reset();
        upstreams.clear();
    }

    void expect_not_completed(framing how)
    {
        start();
        const auto& engine = add(
            "e1",
            [how](const arrived_request& request, upstream_reply& reply) {
                send_cut_stream(how, request, reply);
            },
            "model");
        const auto answer = send_request("/gen/x");
        EXPECT_FALSE(answer.whole);
        EXPECT_EQ(answer.body, complete_events());
        // The engine was not taken for crashed, and gets the next request.
        EXPECT_FALSE(send_request("/gen/x").whole);
        EXPECT_EQ(engine.arrived().size(), 2U);
    }
};

// Guard against a truncated stream that looks complete: its engine lives on and
// ended the body properly, so that only the event shows that it is cut.

TEST_F(cut_streams, with_a_length_are_not_completed)
{
    expect_not_completed(framing::length);
}

TEST_F(cut_streams, in_chunks_are_not_completed)
{
    expect_not_completed(framing::chunked);
}

TEST_F(cut_streams, that_end_with_the_connection_are_not_completed)
{
    expect_not_completed(framing::connection);
}

} // namespace
} // namespace cyclamenrun::testing_support

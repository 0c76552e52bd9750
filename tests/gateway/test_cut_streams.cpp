#include "gateway_fixture.hpp"

namespace cyclamenrun::testing_support
{
namespace
{

constexpr int last_event = 3;
const std::string partial_event = "id: 4\ndata: tok";

/** How an engine says where the body of its answer ends. */
enum class framing { length, chunked, connection };

std::string name_of(const testing::TestParamInfo<framing>& info)
{
    switch (info.param) {
    case framing::length:
        return "length";
    case framing::chunked:
        return "chunks";
    case framing::connection:
        return "connection";
    }
    return "other";
}

std::string complete_events()
{
    std::string text;
    for (int id = 1; id <= last_event; ++id)
        text += event_text(id);
    return text;
}

/** Streams whose body ends as its framing says, but inside an event. */
class cut_streams : public gateway_fixture,
                    public testing::WithParamInterface<framing>
{
protected:
    ~cut_streams() override
    {
        gateway.reset();
        upstreams.clear();
    }

    static void answer(const arrived_request& request, upstream_reply& reply)
    {
        const auto body = complete_events() + partial_event;
        switch (GetParam()) {
        case framing::length:
            reply.answer(request, 200, body,
                         "Content-Type: text/event-stream\r\n");
            return;
        case framing::chunked:
            reply.begin_stream(request);
            for (int id = 1; id <= last_event; ++id)
                reply.event(id);
            reply.send("f\r\n" + partial_event + "\r\n");
            reply.end_stream();
            return;
        case framing::connection:
            reply.begin_unframed(request);
            reply.send(body);
            reply.close();
            return;
        }
    }
};

// Guards against a truncated stream that looks complete: its engine lives on
// and ended the body properly, so that only the event shows that it is cut.
TEST_P(cut_streams, are_not_completed_though_their_sender_lives)
{
    start();
    const auto& engine = add("e1", answer, "model");
    const auto answer = send_request("/gen/x");
    EXPECT_FALSE(answer.whole);
    EXPECT_EQ(answer.body, complete_events());
    // The engine was not taken for crashed, and gets the next request.
    EXPECT_FALSE(send_request("/gen/x").whole);
    EXPECT_EQ(engine.arrived().size(), 2U);
}

INSTANTIATE_TEST_SUITE_P(each_framing, cut_streams,
                         testing::Values(framing::length, framing::chunked,
                                         framing::connection),
                         name_of);

} // namespace
} // namespace cyclamenrun::testing_support

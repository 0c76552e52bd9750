#include "answer_relay.hpp"

#include "response_classification.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

using testing::_;
using testing::InSequence;
using testing::StrictMock;

class mock_answer : public answer_writer
{
public:
    MOCK_METHOD(void, write_whole, (http_head, std::string_view, http_framing),
                (override));
    MOCK_METHOD(void, begin, (http_head, http_framing), (override));
    MOCK_METHOD(void, write_piece, (std::string_view), (override));
    MOCK_METHOD(void, finish, (), (override));
    MOCK_METHOD(void, abort, (), (override));
    MOCK_METHOD(std::size_t, unsent_bytes, (), (const, override));
    MOCK_METHOD(void, on_drained, (std::size_t, std::function<void()>),
                (override));
};

http_head head_of(unsigned status)
{
    http_head head;
    head.status = status;
    return head;
}

response_facts sealed_facts()
{
    response_facts facts;
    facts.sealed = true;
    return facts;
}

class answer_relays : public testing::Test
{
protected:
    answer_relay relay_of(answer_shape shape)
    {
        gateway_route route;
        route.shape = shape;
        route.objective = milliseconds(100);
        route.gap_target = milliseconds(50);
        answer_relay relay(writer, arrived);
        relay.set_route(route, std::nullopt);
        return relay;
    }

    std::shared_ptr<StrictMock<mock_answer>> writer =
        std::make_shared<StrictMock<mock_answer>>();
    time_point arrived{std::chrono::hours(1)};
};

TEST_F(answer_relays, buffers_a_whole_answer_until_it_is_complete)
{
    auto relay = relay_of(answer_shape::whole);
    relay.handle_head(head_of(200), sealed_facts());
    EXPECT_FALSE(relay.handle_body("hello", arrived)->relayed);
    EXPECT_FALSE(relay.begun());
    relay.end_response(receipt_end::framed);
    EXPECT_CALL(*writer, write_whole(_, std::string_view("hello"),
                                     http_framing::length));
    const auto late = relay.deliver(arrived + milliseconds(130));
    EXPECT_EQ(late.late_pause, milliseconds(130));
    EXPECT_EQ(relay.time_to_first_part(), milliseconds(130));
}

// Guards against an answer that is joined from two responses: the first
// upstream fails in the middle of its body, and the retry succeeds.
TEST_F(answer_relays, drops_the_body_of_a_failed_response)
{
    auto relay = relay_of(answer_shape::whole);
    relay.handle_head(head_of(200), sealed_facts());
    EXPECT_TRUE(relay.handle_body("half", arrived));
    relay.prepare_next_response();
    relay.handle_head(head_of(200), sealed_facts());
    EXPECT_TRUE(relay.handle_body("whole", arrived));
    relay.end_response(receipt_end::framed);
    EXPECT_CALL(*writer, write_whole(_, std::string_view("whole"),
                                     http_framing::length));
    relay.deliver(arrived);
}

TEST_F(answer_relays, relays_an_answer_that_is_too_large_to_buffer)
{
    auto relay = relay_of(answer_shape::whole);
    relay.handle_head(head_of(200), sealed_facts());
    const std::string large(max_buffered_answer_bytes, 'x');
    EXPECT_FALSE(relay.handle_body(large, arrived)->relayed);
    const InSequence in_order;
    EXPECT_CALL(*writer, begin(_, http_framing::chunked));
    EXPECT_CALL(*writer, write_piece(std::string_view(large + "y")));
    EXPECT_TRUE(relay.handle_body("y", arrived)->relayed);
    EXPECT_TRUE(relay.relaying());
}

TEST_F(answer_relays, relays_complete_events_and_measures_pauses)
{
    auto relay = relay_of(answer_shape::event_stream);
    relay.handle_head(head_of(200), sealed_facts());
    EXPECT_CALL(*writer, begin(_, http_framing::chunked));
    EXPECT_CALL(*writer, write_piece(_)).Times(2);
    const auto first =
        relay.handle_body("id: 1\ndata: a\n\n", arrived + milliseconds(101));
    EXPECT_EQ(first->late_pause, milliseconds(101));
    EXPECT_TRUE(first->was_first);
    EXPECT_FALSE(
        relay.handle_body("id: 2\nda", arrived + milliseconds(120))->relayed);
    const auto second =
        relay.handle_body("ta: b\n\n", arrived + milliseconds(150));
    EXPECT_TRUE(second->relayed);
    EXPECT_FALSE(second->late_pause);
    EXPECT_EQ(relay.time_to_first_part(), milliseconds(101));
    EXPECT_EQ(relay.longest_pause(), milliseconds(49));
    EXPECT_EQ(relay.last_event_id(), 2U);
}

TEST(response_classification, only_a_confirmed_response_is_delivered)
{
    const response_facts unsealed;
    response_facts turned_away;
    turned_away.not_run = true;
    EXPECT_FALSE(classify_response(200, sealed_facts()));
    EXPECT_FALSE(classify_response(404, sealed_facts()));
    EXPECT_EQ(classify_response(200, unsealed), attempt_result::lost);
    EXPECT_EQ(classify_response(404, unsealed), attempt_result::failed);
    EXPECT_EQ(classify_response(500, sealed_facts()), attempt_result::failed);
    EXPECT_EQ(classify_response(503, turned_away), attempt_result::turned_away);
    EXPECT_EQ(classify_response(421, unsealed), attempt_result::turned_away);
    // The status implies "not run", which the upstream did not confirm.
    EXPECT_EQ(classify_response(503, sealed_facts()), attempt_result::lost);
}

} // namespace
} // namespace cyclamenrun

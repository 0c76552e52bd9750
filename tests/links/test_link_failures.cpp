#include "link_streams.hpp"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

namespace cyclamenrun
{
namespace
{

// The agent's VM was removed and its port is closed. No byte of the request is
// sent, so the entry may report that the request was not run.
TEST_F(link_streams, a_request_to_a_closed_port_is_not_sent)
{
    Poco::Net::ServerSocket reserved(any_port());
    client =
        link_client::create(client_loop, reserved.address(), "key", limits);
    reserved.close();
    received_answer answer;
    const stream_end how = request_and_wait(answer, "x");
    EXPECT_FALSE(how.clean);
    EXPECT_EQ(how.failure, link_failure::connect_failed);
    EXPECT_FALSE(how.request_may_have_run);
    EXPECT_FALSE(client->connected());
}

// An agent dies while it streams answers. Each stream must end exactly once,
// with connection_lost, and its request must count as possibly run.
TEST_F(link_streams, a_peer_failure_ends_each_stream_once)
{
    serve(answer_without_end);
    std::vector<received_answer> answers(50);
    for (received_answer& answer : answers)
        client->open("/dispatch", "", answer.handlers());
    for (received_answer& answer : answers)
        ASSERT_TRUE(answer.wait_frames(1));
    server.reset();
    for (received_answer& answer : answers) {
        ASSERT_TRUE(answer.wait_end());
        EXPECT_FALSE(answer.wait_end()->clean);
        EXPECT_EQ(answer.wait_end()->failure, link_failure::connection_lost);
        EXPECT_TRUE(answer.wait_end()->request_may_have_run);
    }
    client->close();
    wait_for_posted_tasks(client_loop);
    for (const received_answer& answer : answers)
        EXPECT_EQ(answer.ends(), 1U);
}

// An agent's process freezes in the middle of an answer. The connection stays
// open without data; without a keepalive the caller would wait for minutes.
TEST_F(link_streams, the_keepalive_detects_a_frozen_peer)
{
    limits.busy_ping_after = milliseconds(20);
    limits.ping_timeout = milliseconds(50);
    serve(answer_without_end);
    received_answer answer;
    client->open("/dispatch", "", answer.handlers());
    ASSERT_TRUE(answer.wait_frames(1));
    event_count thaw;
    server_loop.post([&thaw] { thaw.wait(1); });
    ASSERT_TRUE(answer.wait_end());
    EXPECT_EQ(answer.wait_end()->failure, link_failure::timed_out);
    EXPECT_TRUE(answer.wait_end()->request_may_have_run);
    thaw.add();
    wait_for_posted_tasks(server_loop);
}

// An entry's process freezes, or its link stalls, while the agent waits to
// send the rest of an answer. The agent must detect this and close the stream.
TEST_F(link_streams, the_server_detects_a_frozen_client)
{
    limits.busy_ping_after = milliseconds(20);
    limits.ping_timeout = milliseconds(50);
    event_count closed;
    serve([&](const auto& stream) {
        stream->on_closed([&] { closed.add(); });
        answer_without_end(stream);
    });
    received_answer answer;
    client->open("/dispatch", "", answer.handlers());
    ASSERT_TRUE(answer.wait_frames(1));
    event_count thaw;
    client_loop.post([&thaw] { thaw.wait(1); });
    EXPECT_TRUE(closed.wait(1));
    thaw.add();
    wait_for_posted_tasks(client_loop);
    ASSERT_TRUE(answer.wait_end());
}

// The peer accepts the connection and freezes before the handshake. The request
// must time out instead of waiting for the peer, and be reported as not run.
TEST_F(link_streams, a_peer_that_never_authenticates_times_out)
{
    limits.handshake_timeout = milliseconds(50);
    Poco::Net::ServerSocket unresponsive(any_port());
    client =
        link_client::create(client_loop, unresponsive.address(), "key", limits);
    received_answer answer;
    const stream_end how = request_and_wait(answer, "x");
    EXPECT_EQ(how.failure, link_failure::timed_out);
    EXPECT_FALSE(how.request_may_have_run);
}

TEST_F(link_streams, a_wrong_key_is_refused_before_a_request_is_sent)
{
    event_count handled;
    serve([&](const auto&) { handled.add(); });
    client =
        link_client::create(client_loop, server->address(), "other", limits);
    received_answer answer;
    const stream_end how = request_and_wait(answer, "x");
    EXPECT_EQ(how.failure, link_failure::unauthenticated);
    EXPECT_FALSE(how.request_may_have_run);
    EXPECT_EQ(handled.count(), 0U);
}

TEST_F(link_streams, a_request_over_the_client_limit_is_not_sent)
{
    limits.max_frame_bytes = 100;
    serve(answer_reversed);
    received_answer answer;
    const stream_end how = request_and_wait(answer, std::string(101, 'x'));
    EXPECT_EQ(how.failure, link_failure::too_large);
    EXPECT_FALSE(how.request_may_have_run);
}

// Client and server are of different releases with different limits. The
// server rejects the request without handling it, and the client may report
// that it has not run.
TEST_F(link_streams, a_request_over_the_server_limit_is_reported_as_not_run)
{
    event_count handled;
    limits.max_frame_bytes = 100;
    serve([&](const auto&) { handled.add(); });
    limits.max_frame_bytes = 100000;
    client = link_client::create(client_loop, server->address(), "key", limits);
    received_answer answer;
    const stream_end how = request_and_wait(answer, std::string(90000, 'x'));
    EXPECT_EQ(how.failure, link_failure::too_large);
    EXPECT_FALSE(how.request_may_have_run);
    EXPECT_EQ(handled.count(), 0U);
}

TEST_F(link_streams, an_answer_over_the_limit_ends_its_stream)
{
    event_count closed;
    serve([&](const auto& stream) {
        stream->on_closed([&] { closed.add(); });
        stream->respond_once(std::string(50000, 'x'));
    });
    limits.max_frame_bytes = 100;
    client = link_client::create(client_loop, server->address(), "key", limits);
    received_answer answer;
    const stream_end how = request_and_wait(answer, "x");
    EXPECT_EQ(how.failure, link_failure::too_large);
    EXPECT_TRUE(how.request_may_have_run);
    EXPECT_TRUE(closed.wait(1));
}

TEST_F(link_streams, a_refused_stream_is_reported_as_not_run)
{
    event_count handled;
    serve([&](const auto&) { handled.add(); });
    received_answer answer;
    client->open("/" + std::string(3000, 'x'), "", answer.handlers());
    ASSERT_TRUE(answer.wait_end());
    EXPECT_EQ(answer.wait_end()->failure, link_failure::reset_by_peer);
    EXPECT_FALSE(answer.wait_end()->request_may_have_run);
    EXPECT_EQ(handled.count(), 0U);
}

TEST_F(link_streams, streams_over_the_limit_fail_with_too_many_streams)
{
    limits.max_streams = 2;
    serve(answer_without_end);
    received_answer first;
    received_answer second;
    client->open("/dispatch", "", first.handlers());
    client->open("/dispatch", "", second.handlers());
    received_answer third;
    const stream_end how = request_and_wait(third, "x");
    EXPECT_EQ(how.failure, link_failure::too_many_streams);
    EXPECT_FALSE(how.request_may_have_run);
    client->close();
    ASSERT_TRUE(first.wait_end());
    ASSERT_TRUE(second.wait_end());
    EXPECT_EQ(second.wait_end()->failure, link_failure::cancelled);
}

// A process shuts down and its loops end while streams are open. The owner of
// each stream must be notified of its end, even if the stream is opened after
// the loop has ended.
TEST(link_loop, destruction_ends_every_stream_once)
{
    link_loop server_loop;
    link_server server(server_loop, any_port(), "key", {}, answer_without_end);
    received_answer running;
    received_answer late;
    {
        auto loop = std::make_unique<link_loop>();
        const auto client =
            link_client::create(*loop, server.address(), "key", {});
        client->open("/dispatch", "", running.handlers());
        ASSERT_TRUE(running.wait_frames(1));
        loop.reset();
        client->open("/dispatch", "", late.handlers());
    }
    EXPECT_EQ(running.ends(), 1U);
    EXPECT_EQ(late.ends(), 1U);
    EXPECT_FALSE(late.wait_end()->request_may_have_run);
}

TEST(link_loop, timers_run_in_the_order_of_their_deadlines)
{
    link_loop loop;
    std::vector<int> order;
    event_count done;
    const time_point now = steady_now();
    loop.post_at(now + milliseconds(20), [&] {
        order.push_back(2);
        done.add();
    });
    loop.post_at(now + milliseconds(10), [&] { order.push_back(1); });
    ASSERT_TRUE(done.wait(1));
    EXPECT_GE(steady_now(), now + milliseconds(20));
    EXPECT_EQ(order, (std::vector<int>{1, 2}));
}

} // namespace
} // namespace cyclamenrun

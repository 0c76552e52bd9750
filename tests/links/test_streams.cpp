#include "link_streams.hpp"

#include <atomic>

namespace cyclamenrun
{
namespace
{

TEST_F(link_streams, a_request_gets_its_answer)
{
    serve(answer_reversed);
    received_answer answer;
    EXPECT_TRUE(request_and_wait(answer, "abc").clean);
    EXPECT_EQ(answer.frames(), std::vector<std::string>{"cba"});
    EXPECT_TRUE(client->connected());
}

TEST_F(link_streams, a_thousand_streams_each_get_their_own_answer)
{
    serve([](const auto& stream) {
        stream->respond([stream, count = 0](std::size_t) mutable {
            return pulled_frames{{stream->request()}, ++count == 5};
        });
    });
    std::vector<received_answer> answers(1000);
    for (std::size_t i = 0; i < answers.size(); ++i)
        client->open("/dispatch", std::to_string(i), answers[i].handlers());
    for (std::size_t i = 0; i < answers.size(); ++i) {
        ASSERT_TRUE(answers[i].wait_end()) << i;
        EXPECT_TRUE(answers[i].wait_end()->clean) << i;
        EXPECT_EQ(answers[i].frames(),
                  std::vector<std::string>(5, std::to_string(i)));
    }
}

TEST_F(link_streams, a_later_answer_is_sent_on_wake)
{
    std::mutex mutex;
    std::string ready;
    std::shared_ptr<server_stream> opened;
    event_count pulls;
    serve([&](const auto& stream) {
        opened = stream;
        stream->respond([&](std::size_t) {
            const std::lock_guard lock(mutex);
            pulls.add();
            return ready.empty() ? pulled_frames{}
                                 : pulled_frames{{ready}, true};
        });
    });
    received_answer answer;
    client->open("/dispatch", "", answer.handlers());
    ASSERT_TRUE(pulls.wait(1));
    {
        const std::lock_guard lock(mutex);
        ready = "done";
    }
    opened->wake();
    ASSERT_TRUE(answer.wait_end());
    EXPECT_TRUE(answer.wait_end()->clean);
    EXPECT_EQ(answer.frames(), std::vector<std::string>{"done"});
}

// A caller reads slowly. The entry must not buffer the answer in memory, and
// other callers on the same connection must not be blocked. The window of the
// stream stays closed until the received frames are consumed.
TEST_F(link_streams, a_slow_reader_blocks_only_its_own_answer)
{
    limits.connection_window = 128U << 10;
    const std::string frame(996, 'x'); // 1000 bytes with its length
    std::atomic<std::size_t> made_bytes = 0;
    serve([&](const auto& stream) {
        if (stream->request() == "quick") {
            answer_reversed(stream);
            return;
        }
        stream->respond([&](std::size_t) {
            made_bytes += 1000;
            return pulled_frames{{frame}, false};
        });
    });
    received_answer slow[20];
    std::shared_ptr<client_stream> streams[20];
    for (int i = 0; i < 20; ++i)
        streams[i] = client->open("/dispatch", "", slow[i].handlers());
    const std::size_t frames_per_window = limits.stream_window / 1000;
    for (received_answer& answer : slow)
        ASSERT_TRUE(answer.wait_frames(frames_per_window));

    // All stream windows are full; their sum exceeds the connection window.
    received_answer quick;
    EXPECT_TRUE(request_and_wait(quick, "quick").clean);
    wait_for_posted_tasks(server_loop);
    EXPECT_LE(made_bytes, 20 * (limits.stream_window + 1000));
    EXPECT_EQ(slow[0].frames().size(), frames_per_window);

    streams[0]->consumed(frames_per_window * frame.size());
    EXPECT_TRUE(slow[0].wait_frames(2 * frames_per_window));
    EXPECT_EQ(slow[1].frames().size(), frames_per_window);
    for (const auto& stream : streams)
        stream->cancel();
    for (received_answer& answer : slow)
        ASSERT_TRUE(answer.wait_end());
    server.reset();
}

// Guards against answers that stall forever because a frame is larger than the
// window: its first part fills the window and can't be consumed without the
// rest.
TEST_F(link_streams, frames_larger_than_the_window_arrive)
{
    const std::string large(10 * limits.stream_window, 'x');
    serve([&](const auto& stream) {
        stream->respond([&, count = 0](std::size_t) mutable {
            return pulled_frames{{large}, ++count == 3};
        });
    });
    received_answer answer;
    std::shared_ptr<client_stream> stream;
    std::mutex mutex;
    auto handlers = answer.handlers();
    handlers.on_frame = [&, record = handlers.on_frame](std::string frame) {
        const std::lock_guard lock(mutex);
        stream->consumed(frame.size());
        record(std::move(frame));
    };
    {
        const std::lock_guard lock(mutex);
        stream = client->open("/dispatch", large, handlers);
    }
    ASSERT_TRUE(answer.wait_end());
    EXPECT_TRUE(answer.wait_end()->clean);
    EXPECT_EQ(answer.frames(), std::vector<std::string>(3, large));
}

TEST_F(link_streams, a_cancelled_stream_is_closed_at_the_server)
{
    event_count closed;
    serve([&](const auto& stream) {
        stream->on_closed([&] { closed.add(); });
        answer_without_end(stream);
    });
    received_answer answer;
    const auto stream = client->open("/dispatch", "", answer.handlers());
    ASSERT_TRUE(answer.wait_frames(1));
    stream->cancel();
    stream->cancel();
    ASSERT_TRUE(answer.wait_end());
    EXPECT_EQ(answer.wait_end()->failure, link_failure::cancelled);
    EXPECT_TRUE(answer.wait_end()->request_may_have_run);
    EXPECT_TRUE(closed.wait(1));
    wait_for_posted_tasks(client_loop);
    wait_for_posted_tasks(server_loop);
    EXPECT_EQ(answer.ends(), 1U);
    EXPECT_EQ(closed.count(), 1U);
}

TEST_F(link_streams, an_answered_stream_is_closed_once_at_the_server)
{
    event_count closed;
    serve([&](const auto& stream) {
        stream->on_closed([&] { closed.add(); });
        answer_reversed(stream);
    });
    received_answer answer;
    EXPECT_TRUE(request_and_wait(answer, "").clean);
    EXPECT_TRUE(closed.wait(1));
    server.reset();
    EXPECT_EQ(closed.count(), 1U);
}

TEST_F(link_streams, a_client_reconnects_to_a_restarted_peer)
{
    serve(answer_reversed);
    received_answer before;
    EXPECT_TRUE(request_and_wait(before, "a").clean);
    const auto address = server->address();
    server.reset();
    server.emplace(server_loop, address, "key", limits, answer_reversed);
    // The first request may fail as the old connection is being closed.
    received_answer first;
    request_and_wait(first, "b");
    received_answer after;
    EXPECT_TRUE(request_and_wait(after, "c").clean);
}

} // namespace
} // namespace cyclamenrun

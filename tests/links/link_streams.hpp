#ifndef CYCLAMENRUN_TEST_LINK_STREAMS_HPP
#define CYCLAMENRUN_TEST_LINK_STREAMS_HPP

#include "link_fixture.hpp"

#include <gtest/gtest.h>
#include <utility>

namespace cyclamenrun
{

/** Fixture with a client and a server, each on its own loop. */
class link_streams : public testing::Test
{
protected:
    void serve(request_handler handler)
    {
        server.emplace(server_loop, any_port(), "key", limits,
                       std::move(handler));
        client =
            link_client::create(client_loop, server->address(), "key", limits);
    }

    /** Opens a stream and waits for its end. */
    stream_end request_and_wait(received_answer& answer,
                                const std::string& request)
    {
        client->open("/dispatch", request, answer.handlers());
        const auto end = answer.wait_end();
        EXPECT_TRUE(end) << "no end";
        return end.value_or(stream_end{});
    }

    link_limits limits;
    link_loop server_loop;
    link_loop client_loop;
    std::optional<link_server> server;
    std::shared_ptr<link_client> client;
};

/** Answers with the reversed request. */
inline void answer_reversed(const std::shared_ptr<server_stream>& stream)
{
    stream->respond_once(
        {stream->request().rbegin(), stream->request().rend()});
}

/** Answers with one frame and leaves the stream open. */
inline void answer_without_end(const std::shared_ptr<server_stream>& stream)
{
    stream->respond([first = true](std::size_t) mutable {
        if (!std::exchange(first, false))
            return pulled_frames{};
        return pulled_frames{{"first"}, false};
    });
}

} // namespace cyclamenrun

#endif // CYCLAMENRUN_TEST_LINK_STREAMS_HPP

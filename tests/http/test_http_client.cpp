#include "http_client.hpp"
#include "link_loop.hpp"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <future>
#include <gtest/gtest.h>
#include <thread>
#include <vector>

namespace cyclamenrun::testing_support
{
namespace
{

/** Calls to a peer that accepts no connection from its listener's queue. */
class unanswered_calls : public testing::Test
{
protected:
    void listen(int queue_length)
    {
        listener.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
        listener.listen(queue_length);
    }

    /** Fills the listener's queue, so that its host drops what follows. */
    void fill_queue()
    {
        for (int i = 0; i < 4; ++i) {
            waiting.emplace_back(Poco::Net::SocketAddress::IPv4);
            waiting.back().connectNB(listener.address());
        }
        std::this_thread::sleep_for(milliseconds(50));
    }

    call_failure failure()
    {
        std::promise<call_outcome> done;
        loop.post([&] {
            client = std::make_shared<http_client>(
                loop.reactor(),
                ip_endpoint{"127.0.0.1", listener.address().port()},
                engine_call_limits);
            http_head head;
            head.method = "GET";
            head.target = "/";
            client->call(
                std::move(head), "", loop.reactor()->now() + milliseconds(300),
                [&](const call_outcome& outcome) { done.set_value(outcome); });
        });
        const auto outcome = done.get_future().get();
        return outcome ? call_failure::malformed : outcome.error();
    }

    Poco::Net::ServerSocket listener;
    std::vector<Poco::Net::StreamSocket> waiting;
    link_loop loop;
    std::shared_ptr<http_client> client;
};

// Guards against a peer that is taken for gone, or for one that can't be
// reached: it has the call, and may execute it late.
TEST_F(unanswered_calls, that_arrived_have_timed_out)
{
    listen(8);
    EXPECT_EQ(failure(), call_failure::timed_out);
}

// Guards against a call that counts as one that may be executed although it was
// never sent.
TEST_F(unanswered_calls, that_never_arrived_had_no_peer)
{
    listen(0);
    fill_queue();
    EXPECT_EQ(failure(), call_failure::unreachable);
}

} // namespace
} // namespace cyclamenrun::testing_support

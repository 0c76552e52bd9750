#include "fake_upstream.hpp"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <chrono>
#include <future>
#include <gtest/gtest.h>
#include <memory>
#include <vector>

namespace cyclamenrun::testing_support
{
namespace
{

// If other listeners share the upstream's port, they can take the connection
// that wakes its acceptor, and the destructor waits for the acceptor forever.
TEST(fake_upstreams, stop_when_other_listeners_share_their_port)
{
    auto upstream = std::make_unique<fake_upstream>(
        [](const arrived_request&, upstream_reply&) {});
    const Poco::Net::SocketAddress address(upstream->address().host,
                                           upstream->address().port);
    std::vector<Poco::Net::ServerSocket> listeners(8);
    for (auto& listener : listeners) {
        listener.bind(address, true, true);
        listener.listen();
    }
    auto stopped = std::async(std::launch::async, [&] { upstream.reset(); });
    const bool in_time =
        stopped.wait_for(std::chrono::seconds(10)) == std::future_status::ready;
    EXPECT_TRUE(in_time);
    listeners.clear();
    if (!in_time) // ends the acceptor, so that the test ends too
        Poco::Net::StreamSocket(address).close();
}

} // namespace
} // namespace cyclamenrun::testing_support

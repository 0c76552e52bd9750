#include "link_loop.hpp"
#include "tcp_connection.hpp"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <future>
#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

constexpr std::size_t output_bytes = std::size_t(32) << 20;
constexpr std::size_t low_water = output_bytes / 4 * 3;

// Guards against a sender that is paused until its slow reader has taken
// everything: an upstream would abort what stays unread for some seconds.
TEST(tcp_connection, reports_output_at_its_low_water_mark)
{
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    link_loop loop;
    std::promise<std::size_t> left;
    const auto budget = loop.reactor()->input();
    std::shared_ptr<tcp_connection> connection;
    loop.post([&] {
        tcp_connection::hooks on;
        on.drained = [&] { left.set_value(connection->unsent_bytes()); };
        connection = tcp_connection::connect(
            loop.reactor(), {"127.0.0.1", listener.address().port()}, {}, on);
        connection->count_output(std::make_shared<input_account>(budget));
        connection->set_low_water(low_water);
        connection->send(std::string(output_bytes, 'x'));
    });
    auto reader = listener.acceptConnection();
    std::array<char, 65536> bytes{};
    auto reported = left.get_future();
    while (reported.wait_for(std::chrono::seconds(0)) !=
           std::future_status::ready)
        ASSERT_GT(reader.receiveBytes(bytes.data(), bytes.size()), 0);
    const auto unsent = reported.get();
    EXPECT_LE(unsent, low_water);
    EXPECT_GT(unsent, 0U);
    // What is closed is no longer counted.
    std::promise<std::size_t> held;
    loop.post([&] {
        connection->close();
        held.set_value(budget->held());
    });
    EXPECT_EQ(held.get_future().get(), 0U);
}

} // namespace
} // namespace cyclamenrun

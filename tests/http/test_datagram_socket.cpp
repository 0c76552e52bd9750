#include "datagram_socket.hpp"
#include "link_loop.hpp"

#include <gtest/gtest.h>
#include <memory>
#include <set>
#include <vector>

namespace cyclamenrun
{
namespace
{

// Guards against two sockets with one port, of which one receives nothing.
TEST(datagram_socket, gets_a_port_that_no_other_socket_has)
{
    link_loop loop;
    std::vector<std::shared_ptr<datagram_socket>> sockets;
    std::set<std::uint16_t> ports;
    for (int i = 0; i < 900; ++i) {
        sockets.push_back(std::make_shared<datagram_socket>(
            loop.reactor(), ip_endpoint{"127.0.0.1", 0},
            [](const ip_endpoint&, std::string_view) {}));
        ports.insert(sockets.back()->address().port);
    }
    EXPECT_EQ(ports.size(), sockets.size());
}

} // namespace
} // namespace cyclamenrun

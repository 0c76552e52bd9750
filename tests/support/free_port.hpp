#ifndef CYCLAMENRUN_TESTS_FREE_PORT_HPP
#define CYCLAMENRUN_TESTS_FREE_PORT_HPP

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <cstdint>
#include <random>

namespace cyclamenrun::testing_support
{

/**
 * A TCP and UDP port that is currently free on all addresses. It is below those
 * that Linux assigns to sockets without one, so that no other test is assigned
 * it before it is in use.
 */
inline std::uint16_t free_port()
{
    std::random_device random;
    std::uniform_int_distribution<std::uint16_t> ports(20000, 32000);
    for (;;) {
        const Poco::Net::SocketAddress address("0.0.0.0", ports(random));
        try {
            const Poco::Net::DatagramSocket datagrams(address, false);
            Poco::Net::ServerSocket connections;
            connections.bind(address, false, false);
            return address.port();
        } catch (const Poco::Net::NetException&) {
            continue; // in use
        }
    }
}

} // namespace cyclamenrun::testing_support

#endif // CYCLAMENRUN_TESTS_FREE_PORT_HPP

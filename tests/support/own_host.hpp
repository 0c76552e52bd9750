#ifndef CYCLAMENRUN_TESTS_OWN_HOST_HPP
#define CYCLAMENRUN_TESTS_OWN_HOST_HPP

#include <string>
#include <unistd.h>

namespace cyclamenrun::testing_support
{

/**
 * A loopback address of this process. Listeners set SO_REUSEPORT, so that
 * sockets of tests that run at the same time may share a port on 127.0.0.1, and
 * one test gets what another one was sent.
 */
inline std::string own_host(int number)
{
    constexpr int numbers = 250;
    const int id = ::getpid();
    return "127." + std::to_string(1 + id % numbers) + "." +
           std::to_string(id / numbers % numbers) + "." +
           std::to_string(number);
}

} // namespace cyclamenrun::testing_support

#endif // CYCLAMENRUN_TESTS_OWN_HOST_HPP

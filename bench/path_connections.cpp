#include "path_connections.hpp"

#include "link_client.hpp"
#include "link_loop.hpp"
#include "link_server.hpp"

#include <ctime>
#include <future>
#include <malloc.h>
#include <memory>
#include <stdexcept>
#include <thread>
#include <vector>

namespace cyclamenrun::bench
{

namespace
{

constexpr std::size_t max_connections = 1000;
constexpr std::chrono::seconds max_idle{120};

double process_microseconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 +
           static_cast<double>(time.tv_nsec) / 1e3;
}

double heap_bytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

/** Sends a request; returns the time to its answer in milliseconds. */
double time_request(link_client& client)
{
    std::promise<bool> ended;
    const time_point begin = steady_now();
    client.open("/dispatch", "request", {{}, [&ended](const stream_end& how) {
                                             ended.set_value(how.clean);
                                         }});
    if (!ended.get_future().get())
        throw std::runtime_error(
            "the link closed before it answered the request");
    return std::chrono::duration<double, std::milli>(steady_now() - begin)
        .count();
}

} // namespace

connections_result measure_connections(const connections_settings& settings)
{
    if (settings.connections == 0 || settings.connections > max_connections)
        throw std::invalid_argument("connections: 1 to 1000");
    if (settings.idle > max_idle)
        throw std::invalid_argument("idle: up to 120 seconds");
    connections_result result;
    link_loop server_loop;
    link_loop client_loop;
    link_server server(
        server_loop, Poco::Net::SocketAddress("127.0.0.1", 0), "key", {},
        [](const auto& stream) { stream->respond_once("answer"); });
    std::vector<std::shared_ptr<link_client>> clients;
    const auto connect = [&] {
        clients.push_back(
            link_client::create(client_loop, server.address(), "key", {}));
        return time_request(*clients.back());
    };
    // The first connection allocates the memory that all share.
    connect();
    const double before = heap_bytes();
    for (std::size_t i = 0; i < settings.connections; ++i)
        result.first_answer.add(connect());
    const auto connections = static_cast<double>(settings.connections);
    result.bytes_per_connection = (heap_bytes() - before) / connections;
    for (const auto& client : clients)
        result.next_answer.add(time_request(*client));
    const double spent = process_microseconds();
    std::this_thread::sleep_for(settings.idle);
    if (settings.idle.count() > 0)
        result.idle_microseconds = (process_microseconds() - spent) /
                                   connections /
                                   static_cast<double>(settings.idle.count());
    return result;
}

} // namespace cyclamenrun::bench

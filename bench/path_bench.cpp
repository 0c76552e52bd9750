#include "path_bench.hpp"

#include "link_loop.hpp"
#include "path_stream.hpp"

#include <fstream>
#include <future>
#include <limits>
#include <memory>
#include <stdexcept>
#include <utility>

namespace cyclamenrun::bench
{

namespace
{

constexpr std::size_t most_streams = 2000;
constexpr std::chrono::seconds longest_time{120};
/** Starts are spread over this, as callers' are. */
constexpr milliseconds ramp{1000};

/** Resident memory from /proc/PID/status, or 0 if there is none to read. */
std::uint64_t resident_kilobytes(int process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string name;
    while (status >> name) {
        std::uint64_t kilobytes = 0;
        if (name == "VmRSS:" && status >> kilobytes)
            return kilobytes;
        status.ignore(std::numeric_limits<std::streamsize>::max(), '\n');
    }
    return 0;
}

std::string request_of(const path_settings& settings,
                       const Poco::Net::SocketAddress& address)
{
    std::string prompt;
    for (std::uint64_t i = 0; i < settings.prompt_words; ++i)
        prompt += "word" + std::to_string(i) + ' ';
    const std::string tokens = std::to_string(settings.output_tokens);
    const std::string body =
        "{\"model\":\"" + settings.model + "\",\"prompt\":\"" + prompt +
        "\",\"stream\":true,\"max_tokens\":" + tokens +
        ",\"stand_in\":{\"output_tokens\":" + tokens + "}}";
    return "POST /v1/completions HTTP/1.1\r\nHost: " + address.toString() +
           "\r\nAuthorization: Bearer " + settings.key +
           "\r\nContent-Type: application/json\r\nConnection: close"
           "\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

void check(const path_settings& settings)
{
    if (!settings.direct.host().isLoopback() ||
        !settings.through.host().isLoopback())
        throw std::invalid_argument("targets must be in 127.0.0.0/8");
    if (settings.streams == 0 || settings.streams > most_streams)
        throw std::invalid_argument("streams: 1 to 2000");
    if (settings.time <= ramp || settings.time > longest_time)
        throw std::invalid_argument("seconds: 2 to 120");
}

/** Keeps a number of streams open on a loop; lives on the loop's thread. */
class path_load
{
public:
    path_load(link_reactor& reactor, time_point deadline)
        : reactor_(reactor), deadline_(deadline)
    {
    }

    void start_stream(path_target& target)
    {
        if (steady_now() >= deadline_)
            return;
        const auto stream =
            std::make_shared<path_stream>(reactor_, target, [this, &target] {
                // Later, as a refused stream would start the next at once
                // and without end.
                reactor_.post_at(reactor_.now() + milliseconds(20),
                                 [this, &target] { start_stream(target); });
            });
        stream->start();
    }

private:
    link_reactor& reactor_;
    time_point deadline_;
};

void wait_until(link_loop& loop, time_point when)
{
    std::promise<void> reached;
    loop.post_at(when, [&reached] { reached.set_value(); });
    reached.get_future().wait();
}

} // namespace

path_result measure_path(const path_settings& settings)
{
    check(settings);
    path_result result;
    result.direct.address = settings.direct;
    result.direct.request = request_of(settings, settings.direct);
    result.through.address = settings.through;
    result.through.request = request_of(settings, settings.through);
    for (const int process : settings.processes)
        result.memory.push_back({process, resident_kilobytes(process), 0});

    const time_point begin = steady_now();
    const time_point deadline = begin + settings.time;
    auto loop = std::make_unique<link_loop>();
    path_load load(*loop->reactor(), deadline);
    for (std::size_t i = 0; i < settings.streams; ++i) {
        const time_point when = begin + i * ramp / settings.streams;
        loop->post_at(when, [&] {
            load.start_stream(result.direct);
            load.start_stream(result.through);
        });
    }
    wait_until(*loop, begin + (ramp + settings.time) / 2);
    for (process_memory& memory : result.memory)
        memory.kilobytes_during = resident_kilobytes(memory.process);
    wait_until(*loop, deadline);
    loop.reset();
    return result;
}

} // namespace cyclamenrun::bench

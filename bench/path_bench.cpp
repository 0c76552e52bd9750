#include "path_bench.hpp"

#include "link_loop.hpp"
#include "path_stream.hpp"

#include <fstream>
#include <future>
#include <limits>
#include <memory>
#include <optional>
#include <random>
#include <stdexcept>
#include <unistd.h>
#include <utility>

namespace cyclamenrun::bench
{

namespace
{

constexpr std::size_t max_streams = 2000;
constexpr std::chrono::seconds max_time{120};
/** Stream starts are spread over this time, as those of callers are. */
constexpr milliseconds ramp{1000};

/** Resident memory from /proc/PID/status; 0 if it can't be read. */
std::uint64_t resident_kilobytes(int pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::string name;
    while (status >> name) {
        std::uint64_t kilobytes = 0;
        if (name == "VmRSS:" && status >> kilobytes)
            return kilobytes;
        status.ignore(std::numeric_limits<std::streamsize>::max(), '\n');
    }
    return 0;
}

/** Processor time used by a process; 0 if it can't be read. */
double processor_seconds(int pid)
{
    std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
    // The name is in parentheses and may contain blanks; user and system time
    // are the 12th and 13th fields after it.
    stat.ignore(std::numeric_limits<std::streamsize>::max(), ')');
    std::string skipped;
    for (int i = 0; i < 11; ++i)
        stat >> skipped;
    double user = 0;
    double system = 0;
    stat >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
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
    if (settings.streams == 0 || settings.streams > max_streams)
        throw std::invalid_argument("streams: 1 to 2000");
    if (settings.time <= ramp || settings.time > max_time)
        throw std::invalid_argument("seconds: 2 to 120");
}

/**
 * Runs pairs of streams, one direct and one through cyclamenrun. When both
 * streams of a pair have ended, a new pair starts after a pause, until the
 * deadline. Used on the loop's thread only.
 */
class path_load
{
public:
    path_load(link_reactor& reactor, path_result& result, time_point deadline)
        : reactor_(reactor), result_(result), deadline_(deadline)
    {
    }

    void start_pair()
    {
        if (steady_now() >= deadline_)
            return;
        const auto open_pair = std::make_shared<pair>();
        start_stream(result_.direct, open_pair, &pair::direct);
        start_stream(result_.through, open_pair, &pair::through);
    }

private:
    struct pair {
        std::optional<double> direct;
        std::optional<double> through;
        int ended_streams = 0;
    };

    void start_stream(path_target& target,
                      const std::shared_ptr<pair>& open_pair,
                      std::optional<double> pair::*first_token)
    {
        std::make_shared<path_stream>(
            reactor_, target,
            [this, open_pair, first_token](std::optional<double> time) {
                (*open_pair).*first_token = time;
                if (++open_pair->ended_streams == 2)
                    end_pair(*open_pair);
            })
            ->start();
    }

    void end_pair(const pair& ended)
    {
        if (ended.direct && ended.through)
            result_.first_token_added.add(*ended.through - *ended.direct);
        // Streams end with a step of the engine; a random pause keeps the
        // next pair from always starting at the same point of a step.
        const milliseconds pause(pause_(random_));
        reactor_.post_at(reactor_.now() + pause, [this] { start_pair(); });
    }

    link_reactor& reactor_;
    path_result& result_;
    time_point deadline_;
    std::mt19937 random_{1};
    std::uniform_int_distribution<int> pause_{20, 120};
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
    // The processor time so far is subtracted from the one at the end.
    for (const int pid : settings.pids)
        result.processes.push_back(
            {pid, resident_kilobytes(pid), 0, -processor_seconds(pid)});

    const time_point begin = steady_now();
    const time_point deadline = begin + settings.time;
    auto loop = std::make_unique<link_loop>();
    path_load load(*loop->reactor(), result, deadline);
    for (std::size_t i = 0; i < settings.streams; ++i) {
        const time_point when = begin + i * ramp / settings.streams;
        loop->post_at(when, [&load] { load.start_pair(); });
    }
    wait_until(*loop, begin + (ramp + settings.time) / 2);
    for (process_use& use : result.processes)
        use.kilobytes_during = resident_kilobytes(use.pid);
    wait_until(*loop, deadline);
    loop.reset();
    for (process_use& use : result.processes)
        use.processor_seconds += processor_seconds(use.pid);
    return result;
}

} // namespace cyclamenrun::bench

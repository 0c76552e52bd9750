#include "path_links.hpp"

#include "digest.hpp"
#include "link_client.hpp"
#include "link_loop.hpp"
#include "link_server.hpp"

#include <cstring>
#include <ctime>
#include <deque>
#include <future>
#include <malloc.h>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <vector>

namespace cyclamenrun::bench
{

namespace
{

double thread_microseconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 +
           static_cast<double>(time.tv_nsec) / 1e3;
}

double loop_microseconds(link_loop& loop)
{
    std::promise<double> spent;
    loop.post([&spent] { spent.set_value(thread_microseconds()); });
    return spent.get_future().get();
}

double heap_bytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

/** The tokens of one stream that wait at the server to be pulled. */
class token_source
{
public:
    explicit token_source(std::shared_ptr<server_stream> stream)
        : stream_(std::move(stream))
    {
    }

    /** Adds a token, which begins with the time of its creation. */
    void produce(std::size_t bytes)
    {
        std::string token(bytes, 'x');
        const auto now = steady_now().time_since_epoch().count();
        std::memcpy(token.data(), &now, sizeof now);
        {
            const std::lock_guard lock(mutex_);
            waiting_.push_back(std::move(token));
        }
        stream_->wake();
    }

    pulled_frames pull(std::size_t max_bytes)
    {
        const std::lock_guard lock(mutex_);
        pulled_frames next;
        std::size_t size = 0;
        while (!waiting_.empty() && size < max_bytes) {
            size += waiting_.front().size();
            next.frames.push_back(std::move(waiting_.front()));
            waiting_.pop_front();
        }
        return next;
    }

private:
    std::shared_ptr<server_stream> stream_;
    std::mutex mutex_;
    std::deque<std::string> waiting_;
};

/** A link client, a link server and the streams between them. */
class links_trial
{
public:
    explicit links_trial(const links_settings& settings) : settings_(settings)
    {
        server_.emplace(server_loop_, Poco::Net::SocketAddress("127.0.0.1", 0),
                        "key", link_limits{},
                        [this](const auto& stream) { accept(stream); });
        client_ =
            link_client::create(client_loop_, server_->address(), "key", {});
    }

    void open_all()
    {
        for (std::size_t i = 0; i < settings_.streams; ++i) {
            const auto slot = std::make_shared<std::weak_ptr<client_stream>>();
            client_handlers handlers;
            handlers.on_frame = [this, slot](const std::string& frame) {
                handle_frame(frame, *slot);
            };
            streams_.push_back(client_->open("/dispatch", "request", handlers));
            *slot = streams_.back();
        }
        all_accepted_.get_future().wait();
    }

    void measure_flow(links_result& result)
    {
        const double client_before = loop_microseconds(client_loop_);
        const double server_before = loop_microseconds(server_loop_);
        const double producer_before = thread_microseconds();
        produce_tokens();
        result.producer_microseconds = thread_microseconds() - producer_before;
        result.client_microseconds =
            loop_microseconds(client_loop_) - client_before;
        result.server_microseconds =
            loop_microseconds(server_loop_) - server_before;
        result.frames = frames_;
        result.delay = delay_;
        const auto frames = static_cast<double>(frames_);
        result.producer_microseconds /= frames;
        result.client_microseconds /= frames;
        result.server_microseconds /= frames;
    }

private:
    void accept(const std::shared_ptr<server_stream>& stream)
    {
        const auto source = std::make_shared<token_source>(stream);
        stream->respond(
            [source](std::size_t bytes) { return source->pull(bytes); });
        sources_.push_back(source);
        if (sources_.size() == settings_.streams)
            all_accepted_.set_value();
    }

    void handle_frame(const std::string& frame,
                      const std::weak_ptr<client_stream>& stream)
    {
        duration::rep sent = 0;
        std::memcpy(&sent, frame.data(), sizeof sent);
        const duration delay = steady_now().time_since_epoch() - duration(sent);
        delay_.add(std::chrono::duration<double, std::micro>(delay).count());
        ++frames_;
        if (const auto open = stream.lock())
            open->consumed(frame.size());
    }

    /** Produces tokens evenly over time, in round-robin over the streams. */
    void produce_tokens()
    {
        const duration step =
            std::chrono::nanoseconds(std::chrono::seconds(1)) /
            (settings_.tokens_per_second * settings_.streams);
        const time_point begin = steady_now();
        const std::uint64_t count = settings_.tokens_per_second *
                                    settings_.streams * settings_.time.count();
        for (std::uint64_t i = 0; i < count; ++i) {
            std::this_thread::sleep_until(begin + i * step);
            sources_[i % sources_.size()]->produce(settings_.token_bytes);
        }
        // Allows time for the last tokens to arrive.
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }

    links_settings settings_;
    std::promise<void> all_accepted_;
    std::vector<std::shared_ptr<token_source>> sources_;
    std::vector<std::shared_ptr<client_stream>> streams_;
    std::uint64_t frames_ = 0;
    log_histogram delay_;
    link_loop server_loop_;
    link_loop client_loop_;
    std::optional<link_server> server_;
    std::shared_ptr<link_client> client_;
};

} // namespace

links_result measure_links(const links_settings& settings)
{
    if (settings.streams == 0 || settings.streams > 4000)
        throw std::invalid_argument("streams: 1 to 4000");
    links_result result;
    links_trial trial(settings);
    const double before = heap_bytes();
    trial.open_all();
    trial.measure_flow(result);
    const auto streams = static_cast<double>(settings.streams);
    result.bytes_per_stream = (heap_bytes() - before) / streams;
    return result;
}

} // namespace cyclamenrun::bench

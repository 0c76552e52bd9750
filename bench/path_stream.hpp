#ifndef CYCLAMENRUN_BENCH_PATH_STREAM_HPP
#define CYCLAMENRUN_BENCH_PATH_STREAM_HPP

#include "clock.hpp"
#include "link_reactor.hpp"
#include "path_target.hpp"

#include <Poco/Net/StreamSocket.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenrun::bench
{

/** One streamed completion over HTTP/1.1, read on a loop's thread. */
class path_stream final : public socket_event_handler,
                          public std::enable_shared_from_this<path_stream>
{
public:
    /** Receives the time to the first token in ms, if a token arrived. */
    using end_handler = std::function<void(std::optional<double>)>;

    /** `on_end` is called once, on the loop's thread. */
    path_stream(link_reactor& reactor, path_target& target, end_handler on_end);

    void start();

    void ready(bool readable, bool writable) override;
    void flush() override;
    void loop_stopping() override;

private:
    void send_request();
    void receive();
    void handle_bytes(std::string_view bytes);
    void handle_event(bool last);
    void close(bool complete);

    link_reactor& reactor_;
    path_target& target_;
    end_handler on_end_;
    Poco::Net::StreamSocket socket_;
    link_reactor::watch_id watch_ = 0;
    time_point started_;
    std::optional<time_point> last_token_;
    std::optional<double> first_token_ms_; ///< from the start
    std::size_t sent_ = 0;
    std::string partial_line_; ///< received part of the current line
    bool status_seen_ = false;
    bool last_event_seen_ = false;
    bool closed_ = false;
};

} // namespace cyclamenrun::bench

#endif // CYCLAMENRUN_BENCH_PATH_STREAM_HPP

#ifndef CYCLAMENRUN_LINE_OUTPUT_HPP
#define CYCLAMENRUN_LINE_OUTPUT_HPP

#include "log_rate_limiter.hpp"

#include <condition_variable>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace cyclamenrun
{

/**
 * Writes lines to a file descriptor without blocking on its reader. Lines that
 * the descriptor does not accept are queued up to a bound; further lines are
 * dropped. Guards against a pipe that is not read: a plain write would block
 * the thread that serves requests.
 *
 * The descriptor is not set to O_NONBLOCK, since a terminal or a pipe may be
 * shared with other programs. Each write instead follows a poll for
 * writability and is no longer than a pipe accepts atomically.
 */
class line_output
{
public:
    static constexpr std::size_t default_queued_bytes = std::size_t(1) << 20;

    explicit line_output(int descriptor,
                         std::size_t max_queued_bytes = default_queued_bytes);
    /** Writes queued lines; waits a bounded time for a slow reader. */
    ~line_output();
    line_output(const line_output&) = delete;
    line_output& operator=(const line_output&) = delete;

    /**
     * Writes or queues a line, given without its line feed; returns false if
     * the line was dropped.
     */
    bool put(log_severity severity, std::string_view line);

private:
    bool has_room(log_severity severity, std::size_t bytes) const;
    /** Writes as much of the queue as the descriptor accepts at once. */
    void write_some();
    bool writable(int wait_ms) const;
    /** Function of the writer thread. */
    void write_rest();

    const int descriptor_;
    const std::size_t max_queued_bytes_;
    std::mutex mutex_;
    std::string queue_;
    std::condition_variable changed_;
    bool stopping_ = false;
    /** Writes queued lines; started when a line can't be written at once. */
    std::thread writer_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LINE_OUTPUT_HPP

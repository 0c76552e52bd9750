#include "line_output.hpp"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <poll.h>
#include <system_error>
#include <unistd.h>

namespace cyclamenrun
{

namespace
{

/** Longest wait in one poll of a descriptor that is not writable. */
constexpr int poll_timeout_ms = 100;
/** Time for a slow reader to accept the last lines of a process. */
constexpr int final_write_timeout_ms = 200;
/** A pipe that polls as writable accepts this much without blocking. */
constexpr std::size_t max_write_bytes = PIPE_BUF;

} // namespace

line_output::line_output(int descriptor, std::size_t max_queued_bytes)
    : descriptor_(descriptor), max_queued_bytes_(max_queued_bytes)
{
}

line_output::~line_output()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_one();
    if (writer_.joinable())
        writer_.join();
    if (!queue_.empty() && writable(final_write_timeout_ms))
        write_some();
}

bool line_output::has_room(log_severity severity, std::size_t bytes) const
{
    // The second half of the queue is reserved for warnings and errors.
    const auto limit = severity == log_severity::info ? max_queued_bytes_ / 2
                                                      : max_queued_bytes_;
    return queue_.size() + bytes <= limit;
}

bool line_output::put(log_severity severity, std::string_view line)
{
    const std::lock_guard lock(mutex_);
    if (!has_room(severity, line.size() + 1))
        return false;
    queue_ += line;
    queue_ += '\n';
    write_some();
    if (queue_.empty())
        return true;
    try {
        if (!writer_.joinable())
            writer_ = std::thread([this] { write_rest(); });
    } catch (const std::system_error&) {
        // No thread is to be had now. The next line writes the queue, or tries
        // again.
        return true;
    }
    changed_.notify_one();
    return true;
}

bool line_output::writable(int wait_ms) const
{
    pollfd wanted{descriptor_, POLLOUT, 0};
    return ::poll(&wanted, 1, wait_ms) > 0;
}

void line_output::write_some()
{
    std::size_t done = 0;
    while (done < queue_.size() && writable(0)) {
        const auto count =
            ::write(descriptor_, queue_.data() + done,
                    std::min(max_write_bytes, queue_.size() - done));
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0) {
            // The reader has closed its end: discard the queued lines.
            done = queue_.size();
            break;
        }
        done += static_cast<std::size_t>(count);
    }
    queue_.erase(0, done);
}

void line_output::write_rest()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        if (queue_.empty()) {
            changed_.wait(lock);
            continue;
        }
        lock.unlock();
        const bool ready = writable(poll_timeout_ms);
        lock.lock();
        if (ready)
            write_some();
    }
}

} // namespace cyclamenrun

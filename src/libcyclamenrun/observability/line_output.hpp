#ifndef CYCLAMENRUN_LINE_OUTPUT_HPP
#define CYCLAMENRUN_LINE_OUTPUT_HPP

#include "line_budget.hpp"

#include <condition_variable>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace cyclamenrun
{

/**
 * Writes lines to a descriptor without ever waiting for its reader. What the
 * descriptor does not take is queued up to a bound; beyond it lines are left
 * out and counted. Guards against a pipe that nobody reads: a plain write
 * would stop the thread that serves requests.
 *
 * The descriptor's flags stay as they are, since a terminal or a pipe may be
 * shared with other programs: it is asked whether it takes a piece, and no
 * piece is longer than a pipe takes whole.
 */
class line_output
{
public:
    static constexpr std::size_t default_queued_bytes = std::size_t(1) << 20;

    explicit line_output(int descriptor,
                         std::size_t queued_bytes = default_queued_bytes);
    /** Waits a moment for a reader that is late, and not longer. */
    ~line_output();
    line_output(const line_output&) = delete;
    line_output& operator=(const line_output&) = delete;

    /** Takes a line without its line feed; false: it was left out. */
    bool put(log_severity severity, std::string_view line);

private:
    bool has_room(log_severity severity, std::size_t bytes) const;
    void write_some();
    bool writable(int wait_ms) const;
    void write_rest();

    const int descriptor_;
    const std::size_t most_queued_;
    std::mutex mutex_;
    std::string queue_;
    std::condition_variable changed_;
    bool ended_ = false;
    std::thread writer_; ///< of what was left in the queue; started for it
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LINE_OUTPUT_HPP

#ifndef CYCLAMENRUN_LOG_TAILER_HPP
#define CYCLAMENRUN_LOG_TAILER_HPP

#include "clock.hpp"
#include "log_tail_cursor.hpp"
#include "snapshot_writer.hpp"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace cyclamenrun
{

class configuration_store;

/** Page size and timing of reads of the log. */
struct tail_settings {
    std::uint32_t page_records = 256; ///< maximum per read
    milliseconds read_wait{10'000};   ///< maximum wait for a new record
    milliseconds first_backoff{200};
    milliseconds max_backoff{5'000};
};

/** Position, state and failures of a log_tailer, shown in the state dump. */
struct tail_status {
    tail_state state = tail_state::following;
    std::uint64_t first_retained = 0;   ///< the oldest offset still kept
    std::uint64_t end = 0;              ///< offset of the next append
    std::uint64_t gaps = 0;             ///< times that unread records expired
    std::uint64_t incomplete_pages = 0; ///< pages in which a record was missing
    std::uint64_t failures = 0; ///< failed reads, not those of expired records
    std::uint32_t failures_in_a_row = 0;
};

/**
 * Reads the log in its own thread and keeps a configuration_store up to date.
 * While the log is unavailable the store keeps its state; a new process then
 * gets a peer's state through configuration_store::restore_from_peer().
 */
class log_tailer
{
public:
    using random_function = std::function<double()>; ///< uniform in [0, 1)

    log_tailer(platform_log& log, configuration_store& store,
               tail_settings settings, clock_function clock,
               random_function random);
    ~log_tailer();
    log_tailer(const log_tailer&) = delete;
    log_tailer& operator=(const log_tailer&) = delete;

    /**
     * Sets the entry's snapshot writer, which is polled after each successful
     * read and informed of each snapshot on the log.
     */
    void set_snapshot_writer(std::shared_ptr<snapshot_writer> writer);

    /**
     * Called on the tailer's thread after a failed read, and after a read that
     * leaves the reader behind a gap. May block.
     */
    using read_problem_hook = std::function<void(const tail_status&)>;
    void on_read_problem(read_problem_hook hook)
    {
        read_problem_hook_ = std::move(hook);
    }

    void start();
    /**
     * Stops the thread and waits for the read in flight. The read takes up to
     * tail_settings::read_wait plus the log's call timeout unless the owner
     * cancels it.
     */
    void stop();

    /**
     * Performs one read as the thread does, waiting up to `wait` for a record.
     * Returns the delay before the next read.
     */
    milliseconds read_once(milliseconds wait);

    tail_status status() const;

private:
    void run();
    void report_read_problem() const;
    void on_page(const log_page& page);
    milliseconds on_error(const log_error& error);
    /** Passes the end of the log as first seen to the snapshot writer. */
    void record_first_end(std::uint64_t end);

    platform_log& log_;
    tail_settings settings_;
    clock_function clock_;
    random_function random_;
    std::shared_ptr<snapshot_writer> writer_;
    read_problem_hook read_problem_hook_;
    log_tail_cursor cursor_;
    bool end_seen_ = false;

    mutable std::mutex mutex_;
    std::condition_variable stop_signal_;
    bool stopping_ = false;
    tail_status status_;
    std::thread thread_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LOG_TAILER_HPP

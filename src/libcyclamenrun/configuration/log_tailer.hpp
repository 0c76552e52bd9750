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

/** How the log is tailed. */
struct tail_settings {
    std::uint32_t page_records = 256;
    milliseconds read_wait{10'000}; ///< for the first new record
    milliseconds first_backoff{200};
    milliseconds max_backoff{5'000};
};

/** How the tail of the log stands, for the dump. */
struct tail_status {
    tail_state state = tail_state::following;
    std::uint64_t first_retained = 0;
    std::uint64_t end = 0;
    std::uint64_t gaps = 0;
    std::uint64_t broken_pages = 0;
    std::uint64_t failures = 0;
    std::uint32_t failures_in_a_row = 0;
};

/**
 * Keeps a configuration_store up to the end of the log, from a thread of its
 * own. When the log is out the store keeps what it has; a fresh process then
 * takes a peer's state by configuration_store::restore_from_peer().
 */
class log_tailer
{
public:
    using random_function = std::function<double()>; ///< even in [0, 1)

    log_tailer(platform_log& log, configuration_store& store,
               tail_settings settings, clock_function clock,
               random_function random);
    ~log_tailer();
    log_tailer(const log_tailer&) = delete;
    log_tailer& operator=(const log_tailer&) = delete;

    /** An entry's writer of snapshots, polled after each read. */
    void write_snapshots_by(std::shared_ptr<snapshot_writer> writer);

    /**
     * Called on the tail's thread after a read that failed or that found the
     * reader behind a gap; it may block.
     */
    using trouble_hook = std::function<void(const tail_status&)>;
    void on_trouble(trouble_hook hook) { trouble_hook_ = std::move(hook); }

    void start();
    /** Ends after the read in flight, at most tail_settings::read_wait. */
    void stop();

    /** One read, as the thread makes it; returns the pause before the next. */
    milliseconds pass(milliseconds wait);

    tail_status status() const;

private:
    void run();
    void tell_of_trouble() const;
    void on_page(const log_page& page);
    milliseconds on_error(const log_error& error);
    void note_first_end(std::uint64_t end);

    platform_log& log_;
    tail_settings settings_;
    clock_function clock_;
    random_function random_;
    std::shared_ptr<snapshot_writer> writer_;
    trouble_hook trouble_hook_;
    log_tail_cursor cursor_;
    bool saw_end_ = false;

    mutable std::mutex mutex_;
    std::condition_variable stopped_;
    bool stopping_ = false;
    tail_status status_;
    std::thread thread_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LOG_TAILER_HPP

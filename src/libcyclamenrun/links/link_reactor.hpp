#ifndef CYCLAMENRUN_LINK_REACTOR_HPP
#define CYCLAMENRUN_LINK_REACTOR_HPP

#include "awake_clock.hpp"
#include "clock.hpp"
#include "input_budget.hpp"
#include "socket_event_handler.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <thread>
#include <unordered_map>
#include <vector>

namespace cyclamenrun
{

/**
 * Event loop of a link_loop: sockets, tasks and timers on one thread. All
 * objects of the loop share ownership of the reactor, so that a call after the
 * end of the loop reaches a stopped reactor and not freed memory.
 */
class link_reactor
{
public:
    using task = std::function<void()>;
    using watch_id = std::uint64_t;

    /** `clock`: monotonic time; a test that calls step() passes its own. */
    explicit link_reactor(clock_function clock = steady_now);
    link_reactor(const link_reactor&) = delete;
    link_reactor& operator=(const link_reactor&) = delete;
    ~link_reactor();

    /**
     * Runs until stop(), then closes all sockets and runs the queued tasks.
     * Timers that are still pending are dropped.
     */
    void run();

    /**
     * Runs one iteration without blocking. Called in place of run(), on the
     * thread that plays the loop's thread.
     */
    void step();
    /** When the next iteration is due without input; none: never. */
    std::optional<time_point> next_iteration() const;

    // Thread-safe.

    void stop();
    /** Returns false, and drops the task, if the loop has ended. */
    bool post(task work);
    bool post_at(time_point when, task work);
    /**
     * Runs a task that judges another process by its silence, at a time of the
     * awake clock, see awake_now(). Input that has arrived is handled before.
     */
    bool post_timeout(time_point awake_deadline, task work);
    bool on_loop_thread() const;

    // To be called on the loop's thread only.

    /** Watches a socket for input and, with `write_interest`, for output. */
    watch_id watch(int socket, std::shared_ptr<socket_event_handler> handler,
                   bool write_interest);
    void set_interest(watch_id id, bool read, bool write);
    void unwatch(watch_id id);
    /** Calls flush() of `handler` at the end of this loop iteration. */
    void flush_later(std::shared_ptr<socket_event_handler> handler);
    /** Number of watched sockets. */
    std::size_t watched() const { return watches_.size(); }
    bool stopping() const { return stopping_; }
    /** Time at the start of this loop iteration. */
    time_point now() const { return now_; }
    /**
     * Time at the start of this loop iteration, less all time for which the
     * loop could not run; see awake_clock.
     */
    time_point awake_now() const { return awake_.now(); }
    /** Converts a deadline of now()'s clock for post_timeout(). */
    time_point awake_deadline(time_point deadline) const
    {
        return awake_now() + (deadline - now());
    }
    /** All time for which the loop could not run. */
    duration missed() const { return awake_.missed(); }
    /** Buffer for one read, shared by all sockets of the loop. */
    std::span<char> read_buffer() { return read_buffer_; }
    /** Counts what the connections of the loop hold; never null. */
    const std::shared_ptr<input_budget>& input() const { return input_; }

private:
    struct watch_entry {
        int socket;
        std::shared_ptr<socket_event_handler> handler;
        std::uint32_t events;
    };

    void run_once(bool may_wait);
    void handle_input(int wait_ms);
    time_point wake_time(time_point now) const;
    bool has_work();
    static int milliseconds_until(time_point wake_at, time_point now);
    void handle_event(watch_id id, std::uint32_t events);
    static void run_due(std::multimap<time_point, task>& timers,
                        time_point now);
    void run_tasks();
    void flush_handlers();
    void finish();
    void clear_wake_up() const;

    int epoll_ = -1;
    int wake_up_ = -1;
    std::atomic<std::thread::id> thread_;

    std::mutex mutex_;
    std::vector<task> tasks_;      // under mutex_
    bool stopped_ = false;         // under mutex_
    bool wake_up_pending_ = false; // under mutex_

    // The members below are used on the loop's thread only.
    bool stopping_ = false;
    clock_function clock_;
    time_point now_;
    awake_clock awake_;
    std::uint64_t next_watch_ = 1;
    std::unordered_map<watch_id, watch_entry> watches_;
    std::multimap<time_point, task> timers_;
    std::multimap<time_point, task> timeouts_; ///< by awake time
    std::vector<std::shared_ptr<socket_event_handler>> unflushed_;
    std::vector<char> read_buffer_;
    std::shared_ptr<input_budget> input_ = std::make_shared<input_budget>();
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LINK_REACTOR_HPP

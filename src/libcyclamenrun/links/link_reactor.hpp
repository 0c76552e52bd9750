#ifndef CYCLAMENRUN_LINK_REACTOR_HPP
#define CYCLAMENRUN_LINK_REACTOR_HPP

#include "clock.hpp"
#include "socket_event_handler.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
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

    link_reactor();
    link_reactor(const link_reactor&) = delete;
    link_reactor& operator=(const link_reactor&) = delete;
    ~link_reactor();

    /**
     * Runs until stop(), then closes all sockets and runs the queued tasks.
     * Timers that are still pending are dropped.
     */
    void run();

    // Thread-safe.

    void stop();
    /** Returns false, and drops the task, if the loop has ended. */
    bool post(task work);
    bool post_at(time_point when, task work);
    bool on_loop_thread() const;

    // To be called on the loop's thread only.

    /** Watches a socket for input and, with `write_interest`, for output. */
    watch_id watch(int socket, std::shared_ptr<socket_event_handler> handler,
                   bool write_interest);
    void set_interest(watch_id id, bool read, bool write);
    void unwatch(watch_id id);
    /** Calls flush() of `handler` at the end of this loop iteration. */
    void flush_later(std::shared_ptr<socket_event_handler> handler);
    bool stopping() const { return stopping_; }
    /** Time at the start of this loop iteration. */
    time_point now() const { return now_; }
    /** Buffer for one read, shared by all sockets of the loop. */
    std::span<char> read_buffer() { return read_buffer_; }

private:
    struct watch_entry {
        int socket;
        std::shared_ptr<socket_event_handler> handler;
        std::uint32_t events;
    };

    void run_once();
    int wait_milliseconds();
    void handle_event(watch_id id, std::uint32_t events);
    void run_timers();
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
    time_point now_;
    std::uint64_t next_watch_ = 1;
    std::unordered_map<watch_id, watch_entry> watches_;
    std::multimap<time_point, task> timers_;
    std::vector<std::shared_ptr<socket_event_handler>> unflushed_;
    std::vector<char> read_buffer_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LINK_REACTOR_HPP

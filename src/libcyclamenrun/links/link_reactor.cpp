#include "link_reactor.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <limits>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace cyclamenrun
{

namespace
{

constexpr std::size_t read_buffer_bytes = std::size_t{64} << 10;
constexpr std::size_t max_events_per_iteration = 256;
/** Rounds of input per iteration, so that timers cannot starve. */
constexpr int max_input_rounds = 8;
constexpr link_reactor::watch_id wake_up_id = 0;

int checked(int result, const char* what)
{
    if (result < 0)
        throw std::system_error(errno, std::generic_category(), what);
    return result;
}

std::uint32_t events_for(bool read, bool write)
{
    return (read ? EPOLLIN : 0U) | (write ? EPOLLOUT : 0U);
}

epoll_event event_of(link_reactor::watch_id id, std::uint32_t events)
{
    epoll_event event{};
    event.events = events;
    event.data.u64 = id;
    return event;
}

} // namespace

link_reactor::link_reactor(clock_function clock)
    : epoll_(checked(epoll_create1(EPOLL_CLOEXEC), "epoll")),
      wake_up_(checked(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC), "eventfd")),
      clock_(std::move(clock)), now_(clock_()), awake_(now_),
      read_buffer_(read_buffer_bytes)
{
    epoll_event event = event_of(wake_up_id, EPOLLIN);
    checked(epoll_ctl(epoll_, EPOLL_CTL_ADD, wake_up_, &event), "epoll");
}

link_reactor::~link_reactor()
{
    ::close(wake_up_);
    ::close(epoll_);
}

bool link_reactor::on_loop_thread() const
{
    return thread_.load(std::memory_order_relaxed) ==
           std::this_thread::get_id();
}

bool link_reactor::post(task work)
{
    const std::lock_guard lock(mutex_);
    if (stopped_)
        return false;
    tasks_.push_back(std::move(work));
    // The loop checks the queue before it blocks, so a post on its own thread
    // needs no wake-up. One wake-up serves all posts until the queue is run.
    if (wake_up_pending_ || on_loop_thread())
        return true;
    wake_up_pending_ = true;
    const std::uint64_t one = 1;
    return ::write(wake_up_, &one, sizeof one) == sizeof one;
}

bool link_reactor::post_at(time_point when, task work)
{
    if (on_loop_thread()) {
        timers_.emplace(when, std::move(work));
        return true;
    }
    return post([this, when, work = std::move(work)]() mutable {
        timers_.emplace(when, std::move(work));
    });
}

bool link_reactor::post_timeout(time_point awake_deadline, task work)
{
    if (on_loop_thread()) {
        timeouts_.emplace(awake_deadline, std::move(work));
        return true;
    }
    return post([this, awake_deadline, work = std::move(work)]() mutable {
        timeouts_.emplace(awake_deadline, std::move(work));
    });
}

void link_reactor::stop()
{
    post([this] { stopping_ = true; });
}

link_reactor::watch_id
link_reactor::watch(int socket, std::shared_ptr<socket_event_handler> handler,
                    bool write_interest)
{
    const watch_id id = next_watch_++;
    epoll_event event = event_of(id, events_for(true, write_interest));
    checked(epoll_ctl(epoll_, EPOLL_CTL_ADD, socket, &event), "epoll");
    watches_[id] = {socket, std::move(handler), event.events};
    return id;
}

void link_reactor::set_interest(watch_id id, bool read, bool write)
{
    const auto found = watches_.find(id);
    if (found == watches_.end())
        return;
    watch_entry& entry = found->second;
    const std::uint32_t events = events_for(read, write);
    if (entry.events == events)
        return;
    entry.events = events;
    epoll_event event = event_of(id, events);
    checked(epoll_ctl(epoll_, EPOLL_CTL_MOD, entry.socket, &event), "epoll");
}

void link_reactor::unwatch(watch_id id)
{
    const auto found = watches_.find(id);
    if (found == watches_.end())
        return;
    epoll_ctl(epoll_, EPOLL_CTL_DEL, found->second.socket, nullptr);
    watches_.erase(found);
}

void link_reactor::flush_later(std::shared_ptr<socket_event_handler> handler)
{
    unflushed_.push_back(std::move(handler));
}

void link_reactor::run()
{
    thread_ = std::this_thread::get_id();
    while (!stopping_)
        run_once(true);
    finish();
}

void link_reactor::step()
{
    thread_ = std::this_thread::get_id();
    run_once(false);
}

void link_reactor::run_once(bool may_wait)
{
    const auto began = clock_();
    const auto wake_at = has_work() ? began : wake_time(began);
    if (may_wait)
        awake_.begin_wait(began, wake_at);
    handle_input(may_wait ? milliseconds_until(wake_at, began) : 0);
    // Timers run after the sockets, so that data that arrived while this
    // process was paused is read before a passed deadline is handled.
    run_due(timers_, now_);
    run_due(timeouts_, awake_.now());
    run_tasks();
    flush_handlers();
    if (!may_wait)
        awake_.begin_wait(now_, wake_time(now_));
}

void link_reactor::handle_input(int wait_ms)
{
    std::array<epoll_event, max_events_per_iteration> events{};
    for (int round = 0; round < max_input_rounds; ++round) {
        const int count = epoll_wait(epoll_, events.data(),
                                     max_events_per_iteration, wait_ms);
        wait_ms = 0;
        if (round == 0) {
            now_ = clock_();
            awake_.end_wait(now_);
        }
        for (int i = 0; i < count; ++i)
            handle_event(events.at(i).data.u64, events.at(i).events);
        // A wait that a signal ends, as a pause of the process does, returns
        // no events although there may be some.
        const bool interrupted = count < 0 && errno == EINTR;
        if (!interrupted && count < static_cast<int>(max_events_per_iteration))
            return;
    }
}

void link_reactor::handle_event(watch_id id, std::uint32_t events)
{
    if (id == wake_up_id) {
        clear_wake_up();
        return;
    }
    // Ids are never reused, so an event of a socket that was closed earlier in
    // this iteration is ignored, even if its descriptor was reused.
    const auto found = watches_.find(id);
    if (found == watches_.end())
        return;
    const auto handler = found->second.handler;
    const bool broken = (events & (EPOLLERR | EPOLLHUP)) != 0;
    handler->ready(broken || (events & EPOLLIN) != 0,
                   broken || (events & EPOLLOUT) != 0);
}

bool link_reactor::has_work()
{
    const std::lock_guard lock(mutex_);
    return !tasks_.empty() || !unflushed_.empty();
}

time_point link_reactor::wake_time(time_point now) const
{
    auto wake_at = timers_.empty() ? time_point::max() : timers_.begin()->first;
    if (!timeouts_.empty()) {
        const auto left = timeouts_.begin()->first - awake_.now();
        wake_at = std::min(wake_at, now + awake_clock::longest_wait(left));
    }
    return wake_at;
}

std::optional<time_point> link_reactor::next_iteration() const
{
    const auto wake_at = wake_time(now_);
    if (wake_at == time_point::max())
        return std::nullopt;
    return wake_at;
}

int link_reactor::milliseconds_until(time_point wake_at, time_point now)
{
    if (wake_at == time_point::max())
        return -1;
    if (wake_at <= now)
        return 0;
    const auto wait_ms = std::chrono::ceil<milliseconds>(wake_at - now).count();
    constexpr auto max_wait_ms = std::numeric_limits<int>::max();
    return static_cast<int>(std::min<std::int64_t>(wait_ms, max_wait_ms));
}

void link_reactor::clear_wake_up() const
{
    std::uint64_t count = 0;
    [[maybe_unused]] const auto size = ::read(wake_up_, &count, sizeof count);
}

void link_reactor::run_due(std::multimap<time_point, task>& timers,
                           time_point now)
{
    while (!timers.empty() && timers.begin()->first <= now)
        timers.extract(timers.begin()).mapped()();
}

void link_reactor::run_tasks()
{
    std::vector<task> tasks;
    {
        const std::lock_guard lock(mutex_);
        tasks.swap(tasks_);
        wake_up_pending_ = false;
    }
    for (task& work : tasks) {
        work();
        work = nullptr;
    }
}

void link_reactor::flush_handlers()
{
    const auto handlers = std::exchange(unflushed_, {});
    for (const auto& handler : handlers)
        handler->flush();
}

void link_reactor::finish()
{
    bool empty = false;
    while (!empty) {
        while (!watches_.empty()) {
            const auto handler = watches_.begin()->second.handler;
            const watch_id id = watches_.begin()->first;
            handler->loop_stopping();
            unwatch(id);
        }
        run_tasks();
        flush_handlers();
        const std::lock_guard lock(mutex_);
        empty = tasks_.empty() && unflushed_.empty() && watches_.empty();
        stopped_ = empty;
    }
    timers_.clear();
    timeouts_.clear();
}

} // namespace cyclamenrun

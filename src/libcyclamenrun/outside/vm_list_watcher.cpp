#include "vm_list_watcher.hpp"

#include "log_event.hpp"

namespace cyclamenrun
{

namespace
{

constexpr milliseconds list_wait{10'000};
constexpr milliseconds call_timeout{15'000};
constexpr milliseconds retry_interval{1'000};

} // namespace

vm_list_watcher::vm_list_watcher(const std::string& address, list_hook on_list,
                                 clock_function clock)
    : on_list_(std::move(on_list)),
      client_(address, exchange_limits{}, call_timeout, std::move(clock),
              &cancel_),
      thread_([this] { run(); })
{
}

vm_list_watcher::~vm_list_watcher()
{
    stop();
}

void vm_list_watcher::stop()
{
    {
        const std::scoped_lock lock(mutex_);
        stopping_ = true;
        stopped_.notify_all();
    }
    cancel_.cancel();
    if (thread_.joinable())
        thread_.join();
}

void vm_list_watcher::run()
{
    std::uint64_t revision = 0;
    bool available = true;
    do {
        const auto list = client_.read(revision, list_wait);
        if (list.has_value() != available) {
            available = list.has_value();
            log_event(log_severity::warning,
                      available ? log_event_name::vm_list_recovered
                                : log_event_name::vm_list_unavailable);
        }
        if (list && list->revision != revision) {
            revision = list->revision;
            on_list_(*list);
        }
    } while (!wait_for_stop(available ? milliseconds(0) : retry_interval));
}

bool vm_list_watcher::wait_for_stop(milliseconds timeout)
{
    std::unique_lock lock(mutex_);
    return stopped_.wait_for(lock, timeout, [this] { return stopping_; });
}

} // namespace cyclamenrun

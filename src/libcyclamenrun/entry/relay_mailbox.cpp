#include "relay_mailbox.hpp"

namespace cyclamenrun
{

void relay_mailbox::put(relay_event event)
{
    {
        const std::scoped_lock lock(mutex_);
        events_.push_back(std::move(event));
    }
    arrived_.notify_one();
}

std::optional<relay_event> relay_mailbox::take(time_point deadline)
{
    std::unique_lock lock(mutex_);
    if (!arrived_.wait_until(lock, deadline,
                             [this] { return !events_.empty(); }))
        return std::nullopt;
    auto event = std::move(events_.front());
    events_.pop_front();
    return event;
}

} // namespace cyclamenrun

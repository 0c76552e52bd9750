#include "cancellation.hpp"

#include <utility>

namespace cyclamenrun
{

void cancellation::cancel()
{
    const std::lock_guard lock(mutex_);
    cancelled_ = true;
    for (const auto& [attachment, hook] : hooks_)
        hook();
}

bool cancellation::cancelled() const
{
    const std::lock_guard lock(mutex_);
    return cancelled_;
}

std::uint64_t cancellation::attach(std::function<void()> hook)
{
    const std::lock_guard lock(mutex_);
    if (cancelled_)
        hook();
    hooks_.emplace(++last_attachment_, std::move(hook));
    return last_attachment_;
}

void cancellation::detach(std::uint64_t attachment)
{
    const std::lock_guard lock(mutex_);
    hooks_.erase(attachment);
}

} // namespace cyclamenrun

#include "cancellation.hpp"

#include <utility>

namespace cyclamenrun
{

void cancellation::cancel()
{
    const std::lock_guard guard(lock_);
    cancelled_ = true;
    if (hook_)
        hook_();
}

bool cancellation::cancelled() const
{
    const std::lock_guard guard(lock_);
    return cancelled_;
}

void cancellation::attach(std::function<void()> hook)
{
    const std::lock_guard guard(lock_);
    hook_ = std::move(hook);
    if (cancelled_)
        hook_();
}

void cancellation::detach()
{
    const std::lock_guard guard(lock_);
    hook_ = nullptr;
}

} // namespace cyclamenrun

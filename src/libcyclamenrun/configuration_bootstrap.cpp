#include "configuration_bootstrap.hpp"

#include "log_event.hpp"

namespace cyclamenrun
{

namespace
{

constexpr milliseconds look_again{500};

} // namespace

configuration_bootstrap::configuration_bootstrap(
    configuration_bootstrap_hooks hooks)
    : hooks_(std::move(hooks)), thread_([this] { run(); })
{
}

configuration_bootstrap::~configuration_bootstrap()
{
    {
        const std::scoped_lock lock(mutex_);
        stopping_ = true;
        stopped_.notify_all();
    }
    thread_.join();
}

void configuration_bootstrap::run()
{
    while (!hooks_.ready()) {
        if (stopped_after(look_again))
            return;
        if (!hooks_.ready() && hooks_.log_is_out() && hooks_.ask_peers())
            log_event(log_severity::warning,
                      log_event_name::configuration_from_peer);
    }
}

bool configuration_bootstrap::stopped_after(milliseconds pause)
{
    std::unique_lock lock(mutex_);
    return stopped_.wait_for(lock, pause, [this] { return stopping_; });
}

} // namespace cyclamenrun

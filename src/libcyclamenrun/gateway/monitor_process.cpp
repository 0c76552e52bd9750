#include "monitor_process.hpp"

namespace cyclamenrun
{

monitor_process::monitor_process(const monitor_settings& settings,
                                 std::shared_ptr<const gateway_dialect> dialect)
    : loop_(std::make_unique<link_loop>()),
      monitor_(std::make_shared<engine_monitor>(
          loop_->reactor(), std::move(dialect),
          engine_monitor_settings{settings.engine, settings.listen,
                                  settings.interval}))
{
    loop_->post([monitor = monitor_] { monitor->start(); });
}

monitor_process::~monitor_process()
{
    loop_.reset();
}

std::string monitor_process::address() const
{
    return to_string(monitor_->address());
}

} // namespace cyclamenrun

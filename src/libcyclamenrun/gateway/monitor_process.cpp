#include "monitor_process.hpp"

namespace cyclamenrun
{

monitor_process::monitor_process(const monitor_settings& settings,
                                 std::shared_ptr<const gateway_dialect> dialect)
    : loop_(std::make_unique<link_loop>()),
      monitor_(std::make_shared<engine_monitor>(
          loop_->reactor(), std::move(dialect),
          engine_monitor_settings{settings.engine, settings.listen,
                                  settings.interval},
          metrics_))
{
    listener_ =
        std::make_unique<metrics_listener>(loop_->reactor(), metrics_, [this] {
            metrics_.set(exported_metric::gateways, {},
                         static_cast<double>(monitor_->gateways()));
            export_dropped_lines(metrics_);
        });
    loop_->post([this, where = settings.metrics_listen] {
        monitor_->start();
        listener_->open(where);
    });
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

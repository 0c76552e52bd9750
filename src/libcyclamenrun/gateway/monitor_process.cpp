#include "monitor_process.hpp"

#include "log_event.hpp"

#include <Poco/Exception.h>

namespace cyclamenrun
{

monitor_process::monitor_process(const monitor_settings& settings,
                                 const monitor_platform& platform)
    : loop_(std::make_unique<link_loop>()),
      monitor_(std::make_shared<engine_monitor>(
          loop_->reactor(), platform.dialect,
          engine_monitor_settings{settings.engine, settings.listen,
                                  settings.interval},
          metrics_))
{
    listener_ =
        std::make_unique<metrics_listener>(loop_->reactor(), metrics_, [this] {
            metrics_.set(exported_metric::gateways, {},
                         static_cast<double>(monitor_->gateways()));
            export_dropped_lines(metrics_);
            export_rejected_messages(metrics_);
        });
    if (settings.directory.port != 0)
        open_relay(settings.directory, platform);
    loop_->post([this, listen_address = settings.metrics_listen] {
        monitor_->start();
        listener_->open(listen_address);
    });
}

monitor_process::~monitor_process()
{
    // Ends the loop's threads before the members that they use are destroyed.
    loop_.reset();
}

void monitor_process::open_relay(const ip_endpoint& directory,
                                 const monitor_platform& platform)
{
    // Listens for connections on the port that the monitor uses for datagrams.
    const auto listen_address = monitor_->address();
    try {
        relay_ = std::make_unique<directory_relay>(
            *loop_, listen_address, platform.feeds(loop_->reactor(), directory),
            metrics_);
    } catch (const Poco::Exception& error) {
        log_event(log_severity::error, log_event_name::listener_failed,
                  {{log_key::name, "directory"},
                   {log_key::address, to_string(listen_address)},
                   {log_key::detail, error.displayText()}});
        return;
    }
    monitor_->on_leaving([this] { relay_->leave(); });
}

std::string monitor_process::address() const
{
    return to_string(monitor_->address());
}

} // namespace cyclamenrun

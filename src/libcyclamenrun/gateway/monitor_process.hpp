#ifndef CYCLAMENRUN_MONITOR_PROCESS_HPP
#define CYCLAMENRUN_MONITOR_PROCESS_HPP

#include "directory_relay.hpp"
#include "engine_monitor.hpp"
#include "link_loop.hpp"
#include "metrics_listener.hpp"
#include "monitor_settings.hpp"

#include <functional>
#include <memory>
#include <string>

namespace cyclamenrun
{

/** The parts of a monitor that depend on the deployment's platform. */
struct monitor_platform {
    std::shared_ptr<const gateway_dialect> dialect;
    /** Creates the feeds of a directory. */
    std::function<relay_feeds(std::shared_ptr<link_reactor>,
                              const ip_endpoint&)>
        feeds;
};

/** A complete monitor: load reports, directory relay and metrics. */
class monitor_process
{
public:
    monitor_process(const monitor_settings& settings,
                    const monitor_platform& platform);
    monitor_process(const monitor_process&) = delete;
    monitor_process& operator=(const monitor_process&) = delete;
    /** Ends the loop before the members that run on it. */
    ~monitor_process();

    std::string address() const;
    /** Always true: a planned stop has no running work to wait for. */
    bool drain() { return true; }

private:
    void open_relay(const ip_endpoint& directory,
                    const monitor_platform& platform);

    exported_metrics metrics_;
    std::unique_ptr<link_loop> loop_;
    std::unique_ptr<metrics_listener> listener_;
    std::shared_ptr<engine_monitor> monitor_;
    std::unique_ptr<directory_relay> relay_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_MONITOR_PROCESS_HPP

#ifndef CYCLAMENRUN_MONITOR_PROCESS_HPP
#define CYCLAMENRUN_MONITOR_PROCESS_HPP

#include "engine_monitor.hpp"
#include "link_loop.hpp"
#include "metrics_listener.hpp"
#include "monitor_settings.hpp"

#include <memory>
#include <string>

namespace cyclamenrun
{

/** All of a monitor. */
class monitor_process
{
public:
    monitor_process(const monitor_settings& settings,
                    std::shared_ptr<const gateway_dialect> dialect);
    monitor_process(const monitor_process&) = delete;
    monitor_process& operator=(const monitor_process&) = delete;
    /** Ends the loop before what runs on it. */
    ~monitor_process();

    std::string address() const;
    /** Nothing is under way that a planned stop would wait for. */
    bool drain() { return true; }

private:
    exported_metrics metrics_;
    std::unique_ptr<link_loop> loop_;
    std::unique_ptr<metrics_listener> listener_;
    std::shared_ptr<engine_monitor> monitor_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_MONITOR_PROCESS_HPP

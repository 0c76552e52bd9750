#ifndef CYCLAMENRUN_MONITOR_SETTINGS_HPP
#define CYCLAMENRUN_MONITOR_SETTINGS_HPP

#include "ip_endpoint.hpp"
#include "logging.hpp"
#include "settings_error.hpp"
#include "settings_row.hpp"

#include <string>
#include <string_view>

namespace cyclamenrun
{

/** Settings of `cyclamenrun-monitor`. */
struct monitor_settings {
    std::string name;
    log_settings log;
    ip_endpoint metrics_listen{"127.0.0.1", 0}; ///< port 0: disabled
    ip_endpoint listen{"0.0.0.0", 0};
    ip_endpoint engine;         ///< the engine on the monitor's VM
    milliseconds interval{100}; ///< between two polls of the engine
    /** The platform's store, read on request of gateways; port 0: disabled. */
    ip_endpoint directory{"127.0.0.1", 0};
};

/** Rows whose targets are members of `settings`, which must outlive them. */
settings_table monitor_rows(monitor_settings& settings);

/** `file` is only named in error messages. */
settings_outcome<monitor_settings>
parse_monitor_settings(std::string_view text, const std::string& file);

settings_outcome<monitor_settings>
read_monitor_settings(const std::string& file);

/** Returns the text of a settings file with all defaults, as a template. */
std::string default_monitor_settings();

} // namespace cyclamenrun

#endif // CYCLAMENRUN_MONITOR_SETTINGS_HPP

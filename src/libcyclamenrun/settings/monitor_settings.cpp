#include "monitor_settings.hpp"

#include "settings_file.hpp"
#include "settings_reader.hpp"
#include "settings_writer.hpp"

namespace cyclamenrun
{

namespace
{

constexpr auto required = settings_presence::required;
constexpr auto optional = settings_presence::optional;
constexpr double max_name_bytes = 63;
constexpr double max_interval_ms = 10000;

} // namespace

settings_table monitor_rows(monitor_settings& settings)
{
    return {
        {"name", &settings.name, required, 1, max_name_bytes, "",
         "Name of this process, unique in the system."},
        {"log_level", &settings.log.min_severity, optional, 0, 0, "",
         "Lowest severity that is logged."},
        {"log_lines_per_s", &settings.log.lines_per_s, optional, 1, 1e6, "1/s",
         "Maximum number of lines logged per second; refusals and failures "
         "have priority."},
        {"metrics_listen", &settings.metrics_listen, optional, 0, 0, "",
         "Address that serves `GET /metrics`; port 0 disables it."},
        {"listen", &settings.listen, optional, 0, 0, "",
         "UDP address at which gateways request the load, and TCP address at "
         "which they request reads of the directory."},
        {"engine", &settings.engine, required, 0, 0, "",
         "Address of the engine on this VM, as listed in the directory."},
        {"interval_ms", &settings.interval, optional, 10, max_interval_ms, "ms",
         "Time between two polls of the engine."},
        {"directory.address", &settings.directory, optional, 0, 0, "",
         "The platform's store, which is read on request of gateways; port 0 "
         "disables this."},
    };
}

settings_outcome<monitor_settings>
parse_monitor_settings(std::string_view text, const std::string& file)
{
    monitor_settings settings;
    auto errors = read_settings(monitor_rows(settings), text, file);
    if (!errors.empty())
        return tl::unexpected(std::move(errors));
    return settings;
}

settings_outcome<monitor_settings>
read_monitor_settings(const std::string& file)
{
    return read_settings_file(file).and_then([&](const std::string& text) {
        return parse_monitor_settings(text, file);
    });
}

std::string default_monitor_settings()
{
    monitor_settings settings;
    return write_settings(monitor_rows(settings));
}

} // namespace cyclamenrun

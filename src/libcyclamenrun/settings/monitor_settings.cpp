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
constexpr double longest_name = 63;
constexpr double longest_interval_ms = 10000;

} // namespace

settings_table monitor_rows(monitor_settings& settings)
{
    return {
        {"name", &settings.name, required, 1, longest_name, "",
         "Name of this process, unique in the system."},
        {"log_level", &settings.log.least, optional, 0, 0, "",
         "Least severity that is logged."},
        {"log_lines_per_s", &settings.log.lines_per_s, optional, 1, 1e6, "1/s",
         "Lines logged in a second, at most; what failed goes first."},
        {"metrics_listen", &settings.metrics_listen, optional, 0, 0, "",
         "Where `GET /metrics` is answered; port 0: nowhere."},
        {"listen", &settings.listen, optional, 0, 0, "",
         "UDP address at which gateways ask for the load, and TCP address at "
         "which they have the directory read."},
        {"engine", &settings.engine, required, 0, 0, "",
         "The engine on this VM, at the address that the directory names."},
        {"interval_ms", &settings.interval, optional, 10, longest_interval_ms,
         "ms", "Time between two looks at the engine."},
        {"directory.address", &settings.directory, optional, 0, 0, "",
         "The platform's store, which is read for gateways that ask; port 0: "
         "it is not."},
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

#include "process_settings.hpp"

namespace cyclamenrun
{

namespace
{

constexpr auto required = settings_presence::required;
constexpr auto optional = settings_presence::optional;
constexpr double max_name_bytes = 63;
constexpr double max_path_bytes = 4096;

} // namespace

settings_table process_rows(process_settings& settings)
{
    return {
        {"name", &settings.name, required, 1, max_name_bytes, "",
         "Name of this process, unique in the system."},
        {"region", &settings.region, required, 1, max_name_bytes, "",
         "Region of this VM."},
        {"failure_domain", &settings.failure_domain, required, 1,
         max_name_bytes, "", "Failure domain of this VM."},
        {"log_level", &settings.log.min_severity, optional, 0, 0, "",
         "Lowest severity that is logged."},
        {"log_lines_per_s", &settings.log.lines_per_s, optional, 1, 1e6, "1/s",
         "Maximum number of lines logged per second; refusals and failures "
         "have priority."},
        {"link_key", &settings.link_key, optional, min_link_key_bytes,
         max_link_key_bytes, "",
         "Key shared by all processes of the system; set either this or "
         "link_key_file."},
        {"link_key_file", &settings.link_key_file, optional, 1, max_path_bytes,
         "",
         "File that holds the link key; a relative path is resolved from the "
         "folder of the settings file."},
    };
}

settings_table platform_rows(process_settings& settings)
{
    auto& platform = settings.platform;
    return {
        {"platform.address", &platform.address, required, 0, 0, "",
         "Address that the platform's services listen on."},
        {"platform.log", &platform.log, optional, 1, max_name_bytes, "",
         "Name of the platform's log that carries the configuration."},
    };
}

} // namespace cyclamenrun

#include "gateway_settings.hpp"

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
constexpr double hour_s = 3600;
constexpr double minute_ms = 60000;
constexpr double max_port = 65535;
constexpr double max_seeds = 64;
constexpr double max_memory_mb = 1048576;

void append(settings_table& table, const settings_table& rows)
{
    table.insert(table.end(), rows.begin(), rows.end());
}

settings_table top_level_rows(gateway_settings& settings)
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
        {"log_every_step", &settings.log_every_step, optional, 0, 0, "",
         "Log each decision on every request when it is made, not only those "
         "of requests that end badly; for investigations."},
        {"metrics_listen", &settings.metrics_listen, optional, 0, 0, "",
         "Address that serves `GET /metrics`; port 0 disables it."},
        {"memory_mb", &settings.memory_mb, optional, 0, max_memory_mb, "MB",
         "Memory of this VM. Messages that are received and not yet passed on "
         "may take a quarter of it; 0: 32 MiB."},
        {"listen", &settings.listen, optional, 0, 0, "",
         "Address that callers connect to."},
        {"ready_listen", &settings.ready_listen, optional, 0, 0, "",
         "Address at which the balancer checks readiness and operators query "
         "the state of this process."},
    };
}

settings_table directory_rows(gateway_settings& settings)
{
    return {
        {"directory.address", &settings.directory, required, 0, 0, "",
         "The platform's store of configurations and upstreams."},
        {"directory.configuration_lease_ms", &settings.configuration_lease,
         optional, 0, 10 * minute_ms, "ms",
         "Age at which the configuration may no longer be used; 0: never."},
        {"directory.configuration_wait_ms", &settings.configuration_wait,
         optional, 0, 30000, "ms",
         "Time for which the store holds a query for a newer configuration; at "
         "most half of the lease."},
        {"directory.upstream_wait_ms", &settings.upstream_wait, optional, 0,
         30000, "ms",
         "Time for which the store holds a query for changes of upstreams."},
        {"directory.upstream_pause_ms", &settings.upstream_pause, optional, 10,
         minute_ms, "ms",
         "Time between two of the gateway's own queries for changes of "
         "upstreams; monitors that query for it have their own interval."},
    };
}

settings_table load_rows(gateway_settings& settings)
{
    return {
        {"loads.listen", &settings.loads_listen, optional, 0, 0, "",
         "UDP address that receives the loads that monitors report."},
        {"loads.monitor_port", &settings.monitor_port, optional, 0, max_port,
         "",
         "UDP and TCP port of the monitors beside engines; 0: there are "
         "none."},
    };
}

settings_table peer_rows(gateway_settings& settings)
{
    return {
        {"peers.listen", &settings.peers_listen, optional, 0, 0, "",
         "UDP address for what gateways tell each other; they use the same "
         "port on all VMs. Port 0: this gateway learns nothing from others."},
        {"peers.seeds", &settings.peer_seeds, optional, 0, max_seeds, "",
         "IP addresses of some gateways, by which a gateway finds the others; "
         "a port after an address is ignored. They may be down."},
    };
}

settings_table time_rows(gateway_settings& settings)
{
    return {
        {"retries.share", &settings.retry_share, optional, 0, 10, "",
         "Further attempts allowed at a service for each request, over all "
         "gateways."},
        {"retries.extra", &settings.retry_extra, optional, 0, 1e6, "",
         "Further attempts allowed at a service in a window beyond the share, "
         "over all gateways."},
        {"retries.window_s", &settings.retry_window_s, optional, 0.1, hour_s,
         "s", "Window of the retry budget."},
        {"cold.overrun", &settings.cold_overrun, optional, 0, 100, "",
         "The requests that a cold upstream gets in any second, over all "
         "gateways, are at most the rate of its service times this, and "
         "`cold.margin`; 0: they are not limited."},
        {"cold.margin", &settings.cold_margin, optional, 0, 1e6, "",
         "Requests that a cold upstream may get in any second beyond that."},
        {"stop.grace_s", &settings.stop_grace_s, optional, 0, hour_s, "s",
         "Time for a planned stop, after which the process may be killed."},
        {"stop.balancer_wait_ms", &settings.balancer_wait, optional, 0,
         minute_ms, "ms",
         "Time between reporting not ready and closing the listener; the "
         "balancer needs two of its readiness checks."},
    };
}

settings_table limit_rows(gateway_settings& settings)
{
    return {
        {"limits.max_fds", &settings.max_fds, optional, 0, 1e6, "descriptors",
         "Descriptors that the process may open, reserved ones included; above "
         "it new connections are closed unread. 0: no bound."},
        {"limits.cpu_share", &settings.cpu_share, optional, 0, 1024, "cores",
         "Processor time that the process may use; above it new connections "
         "are closed unread. 0: no bound."},
    };
}

settings_errors check_consistency(const gateway_settings& settings,
                                  const std::string& file)
{
    const auto lease = settings.configuration_lease;
    if (lease > milliseconds::zero() && 2 * settings.configuration_wait > lease)
        return {{settings_problem::contradictory, file, 0,
                 "directory.configuration_wait_ms",
                 "at most half of directory.configuration_lease_ms"}};
    return {};
}

} // namespace

settings_table gateway_rows(gateway_settings& settings)
{
    auto table = top_level_rows(settings);
    append(table, directory_rows(settings));
    append(table, load_rows(settings));
    append(table, peer_rows(settings));
    append(table, time_rows(settings));
    append(table, limit_rows(settings));
    return table;
}

settings_outcome<gateway_settings>
parse_gateway_settings(std::string_view text, const std::string& file)
{
    gateway_settings settings;
    auto errors = read_settings(gateway_rows(settings), text, file);
    if (errors.empty())
        errors = check_consistency(settings, file);
    if (!errors.empty())
        return tl::unexpected(std::move(errors));
    return settings;
}

settings_outcome<gateway_settings>
read_gateway_settings(const std::string& file)
{
    return read_settings_file(file).and_then([&](const std::string& text) {
        return parse_gateway_settings(text, file);
    });
}

std::string default_gateway_settings()
{
    gateway_settings settings;
    return write_settings(gateway_rows(settings));
}

} // namespace cyclamenrun

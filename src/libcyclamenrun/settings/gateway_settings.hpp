#ifndef CYCLAMENRUN_GATEWAY_SETTINGS_HPP
#define CYCLAMENRUN_GATEWAY_SETTINGS_HPP

#include "ip_endpoint.hpp"
#include "logging.hpp"
#include "settings_error.hpp"
#include "settings_row.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace cyclamenrun
{

/** Settings of `cyclamenrun-gateway`. Times in seconds may be fractions. */
struct gateway_settings {
    std::string name;
    std::string region;
    std::string failure_domain;
    log_settings log;
    bool log_every_step = false;
    ip_endpoint metrics_listen{"127.0.0.1", 0}; ///< port 0: disabled
    /** Of the VM, in megabytes; bounds what is held of messages. */
    std::uint64_t memory_mb = 0;         ///< 0: unknown
    ip_endpoint listen{"0.0.0.0", 8080}; ///< for callers
    /** For the balancer's readiness checks and operators' queries. */
    ip_endpoint ready_listen{"127.0.0.1", 8081};
    /** The platform's store of configurations and upstreams. */
    ip_endpoint directory;

    ip_endpoint loads_listen{"0.0.0.0", 0}; ///< UDP, for monitors' loads
    std::uint64_t monitor_port = 0;         ///< 0: no monitors are queried

    ip_endpoint peers_listen{"0.0.0.0", 0}; ///< UDP; port 0: no peers
    /** IP addresses of some gateways; a port after an address is ignored. */
    std::vector<std::string> peer_seeds;

    /** 0: the configuration never expires. */
    milliseconds configuration_lease{0};
    /** Time between two of the gateway's own queries for upstream changes. */
    milliseconds upstream_pause{900};
    milliseconds configuration_wait{900}; ///< long-poll time at the store
    milliseconds upstream_wait{3000};     ///< long-poll time at the store

    // Retry budget of each service in a window, over all gateways.
    double retry_share = 0.2; ///< further attempts per request
    double retry_extra = 50;  ///< further attempts beyond the share
    double retry_window_s = 10;

    // What the process may use of its VM; 0: not known, no bound.
    std::uint64_t max_fds = 0; ///< open descriptors
    double cpu_share = 0;      ///< of a core
    /**
     * Bound on the requests that a cold upstream gets in any second, over all
     * gateways: the rate of its service x `cold_overrun` + `cold_margin`.
     */
    double cold_overrun = 0; ///< 0: cold upstreams are not limited
    double cold_margin = 0;

    double stop_grace_s = 8; ///< time for a planned stop
    /** Time between reporting not ready and closing the listener. */
    milliseconds balancer_wait{2500};

    bool operator==(const gateway_settings&) const = default;
};

/** Rows whose targets are members of `settings`, which must outlive them. */
settings_table gateway_rows(gateway_settings& settings);

/** `file` is only named in error messages. */
settings_outcome<gateway_settings>
parse_gateway_settings(std::string_view text, const std::string& file);

settings_outcome<gateway_settings>
read_gateway_settings(const std::string& file);

/** Returns the text of a settings file with all defaults, as a template. */
std::string default_gateway_settings();

} // namespace cyclamenrun

#endif // CYCLAMENRUN_GATEWAY_SETTINGS_HPP

#ifndef CYCLAMENRUN_GATEWAY_ROUTES_HPP
#define CYCLAMENRUN_GATEWAY_ROUTES_HPP

#include "gateway_configuration.hpp"

#include <string>
#include <string_view>
#include <unordered_map>

namespace cyclamenrun
{

/**
 * One version of the configuration, indexed for lookups by requests. Immutable,
 * so a request keeps the version with which it was admitted after an update.
 */
class gateway_routes
{
public:
    explicit gateway_routes(gateway_configuration configuration);
    gateway_routes(const gateway_routes&) = delete;
    gateway_routes& operator=(const gateway_routes&) = delete;

    /**
     * Returns the route of the host with the longest matching path prefix; the
     * target may have a query. Takes one lookup per slash of the path,
     * independent of the number of routes.
     */
    const gateway_route* find(std::string_view host,
                              std::string_view target) const;

    /** The team that has the key, or null. */
    const gateway_team* team_of(std::string_view key) const;
    const gateway_service* service(const std::string& name) const;
    /** Requests a second that cold upstreams take, of services that say so. */
    std::unordered_map<std::string, double> cold_rates() const;
    /** Names of the services whose upstreams are model engines. */
    std::vector<std::string> engine_services() const;
    /** Target at which engines return their identity; empty: none. */
    std::string engine_health_target() const;
    bool needs_key(const gateway_route& route) const;

    std::uint64_t version() const { return configuration_.version; }
    const gateway_limits& limits() const { return configuration_.limits; }
    std::size_t size() const { return configuration_.routes.size(); }

private:
    gateway_configuration configuration_;
    /** Key: host in lower case, a line feed, the path prefix. */
    std::unordered_map<std::string, const gateway_route*> routes_;
    std::unordered_map<std::string, const gateway_team*> teams_;
    std::unordered_map<std::string, const gateway_service*> services_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_GATEWAY_ROUTES_HPP

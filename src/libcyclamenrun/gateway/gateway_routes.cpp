#include "gateway_routes.hpp"

#include <Poco/String.h>

namespace cyclamenrun
{

namespace
{

/** Key of a host: without the port and in lower case. */
std::string host_key(std::string_view host)
{
    const auto colon = host.rfind(':');
    const bool has_port = colon != std::string_view::npos &&
                          host.find(']', colon) == std::string_view::npos;
    return Poco::toLower(std::string(has_port ? host.substr(0, colon) : host)) +
           "\n";
}

} // namespace

gateway_routes::gateway_routes(gateway_configuration configuration)
    : configuration_(std::move(configuration))
{
    for (const auto& route : configuration_.routes)
        routes_[host_key(route.host) + route.path_prefix] = &route;
    for (const auto& service : configuration_.services)
        services_[service.name] = &service;
    for (const auto& team : configuration_.teams) {
        for (const auto& key : team.keys)
            teams_[key.reveal()] = &team;
    }
}

const gateway_route* gateway_routes::find(std::string_view host,
                                          std::string_view target) const
{
    const auto path = target.substr(0, target.find_first_of("?#"));
    std::string key = host_key(host);
    const auto host_bytes = key.size();
    key += path;
    while (key.size() > host_bytes) {
        const auto slash = key.rfind('/');
        if (slash == std::string::npos || slash < host_bytes)
            return nullptr;
        key.resize(slash + 1);
        if (const auto found = routes_.find(key); found != routes_.end())
            return found->second;
        key.resize(slash);
    }
    return nullptr;
}

const gateway_team* gateway_routes::team_of(std::string_view key) const
{
    const auto found = teams_.find(std::string(key));
    return found == teams_.end() ? nullptr : found->second;
}

const gateway_service* gateway_routes::service(const std::string& name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : found->second;
}

std::unordered_map<std::string, double> gateway_routes::cold_rates() const
{
    std::unordered_map<std::string, double> rates;
    for (const auto& service : configuration_.services)
        if (service.cold_rate)
            rates.emplace(service.name, *service.cold_rate);
    return rates;
}

std::vector<std::string> gateway_routes::engine_services() const
{
    std::vector<std::string> names;
    for (const auto& service : configuration_.services) {
        if (service.engine)
            names.push_back(service.name);
    }
    return names;
}

std::string gateway_routes::engine_health_target() const
{
    for (const auto& service : configuration_.services) {
        if (service.engine)
            return service.health_target;
    }
    return {};
}

bool gateway_routes::needs_key(const gateway_route& route) const
{
    return configuration_.has_teams && !route.is_public;
}

} // namespace cyclamenrun

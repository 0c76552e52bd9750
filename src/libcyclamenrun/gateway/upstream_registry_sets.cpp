// The queries of upstream_registry that return sets of names.

#include "upstream_registry.hpp"

namespace cyclamenrun
{

std::set<std::string>
upstream_registry::hosts_in_use(const std::string& service) const
{
    std::set<std::string> result;
    for (const auto& [id, upstream] : upstreams_) {
        if (upstream.record.service == service && upstream.own_running > 0)
            result.insert(upstream.record.address.host);
    }
    return result;
}

std::set<std::string> upstream_registry::services() const
{
    std::set<std::string> result;
    for (const auto& [id, upstream] : upstreams_) {
        if (!upstream.record.service.empty())
            result.insert(upstream.record.service);
    }
    return result;
}

} // namespace cyclamenrun

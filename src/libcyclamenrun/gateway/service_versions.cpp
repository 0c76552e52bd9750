#include "service_versions.hpp"

#include <algorithm>

namespace cyclamenrun
{

namespace
{

/** Longer than any stream that callers may still resume. */
constexpr std::chrono::minutes version_memory{2};
/** Bounds the tables if names keep changing. */
constexpr std::size_t max_services = 1024;
constexpr std::size_t max_versions = 256;

} // namespace

void service_versions::record(const std::string& service,
                              const std::string& version, time_point now)
{
    if (services_.size() >= max_services && !services_.contains(service))
        services_.clear();
    auto& history =
        services_.try_emplace(service, service_history{now, {}}).first->second;
    history.last_seen[version] = now;
    if (history.last_seen.size() > max_versions)
        std::erase_if(history.last_seen, [now](const auto& entry) {
            return now - entry.second > version_memory;
        });
    // With more versions than that, nothing can be said of the service.
    if (history.last_seen.size() > max_versions)
        services_.erase(service);
}

void service_versions::restart_watch(time_point now)
{
    for (auto& [name, history] : services_)
        history.watched_since = now;
}

std::optional<std::string>
service_versions::only_version(const std::string& service, milliseconds time,
                               time_point now) const
{
    const auto found = services_.find(service);
    if (found == services_.end() || now - found->second.watched_since < time)
        return std::nullopt;
    std::optional<std::string> only;
    for (const auto& [version, last_seen] : found->second.last_seen) {
        if (now - last_seen > time)
            continue;
        if (only)
            return std::nullopt;
        only = version;
    }
    return only;
}

bool service_versions::names_none(const std::string& service,
                                  time_point now) const
{
    const auto found = services_.find(service);
    if (found == services_.end())
        return false;
    return std::all_of(found->second.last_seen.begin(),
                       found->second.last_seen.end(), [now](const auto& entry) {
                           return entry.first.empty() ||
                                  now - entry.second > version_memory;
                       });
}

} // namespace cyclamenrun

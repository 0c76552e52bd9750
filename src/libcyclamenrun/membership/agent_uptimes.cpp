#include "agent_uptimes.hpp"

namespace cyclamenrun
{

void agent_uptimes::record_report(const std::string& upstream,
                                  std::uint64_t incarnation,
                                  std::uint64_t uptime_ms, time_point now)
{
    const std::scoped_lock lock(mutex_);
    reports_[upstream] = {incarnation, now - milliseconds(uptime_ms)};
}

void agent_uptimes::remove(const std::string& upstream)
{
    const std::scoped_lock lock(mutex_);
    reports_.erase(upstream);
}

std::optional<agent_uptimes::estimate>
agent_uptimes::estimate_of(const std::string& upstream, time_point now) const
{
    const std::scoped_lock lock(mutex_);
    const auto found = reports_.find(upstream);
    if (found == reports_.end())
        return std::nullopt;
    const auto uptime = std::chrono::duration_cast<milliseconds>(
        now - found->second.started_at);
    return estimate{found->second.incarnation,
                    static_cast<std::uint64_t>(uptime.count())};
}

} // namespace cyclamenrun

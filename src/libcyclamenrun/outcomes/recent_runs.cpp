#include "recent_runs.hpp"

#include <algorithm>

namespace cyclamenrun
{

namespace
{

constexpr std::size_t max_parts = 8192;

} // namespace

void recent_runs::record(std::uint64_t part, time_point began_at,
                         time_point now)
{
    if (!runs_.contains(part))
        make_room(now);
    auto& last = runs_[part];
    last = std::max(last, began_at);
}

std::optional<time_point> recent_runs::last(std::uint64_t part,
                                            time_point now) const
{
    const auto found = runs_.find(part);
    if (found == runs_.end() || now - found->second >= clearance_time)
        return std::nullopt;
    return found->second;
}

void recent_runs::make_room(time_point now)
{
    if (runs_.size() < max_parts)
        return;
    std::erase_if(runs_, [now](const auto& each) {
        return now - each.second >= clearance_time;
    });
    // Parts that are in use come back with their next run.
    if (runs_.size() >= max_parts)
        runs_.erase(runs_.begin());
}

} // namespace cyclamenrun

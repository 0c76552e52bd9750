#include "tombstones.hpp"

namespace cyclamenrun
{

bool tombstones::add(const std::string& id, time_point deadline, time_point now)
{
    remove_expired(now);
    const auto known = deadlines_.find(id);
    if (known != deadlines_.end()) {
        known->second = std::max(known->second, deadline);
        return true;
    }
    if (deadlines_.size() >= capacity_)
        return false;
    deadlines_.emplace(id, deadline);
    oldest_first_.push_back(id);
    return true;
}

bool tombstones::contains(const std::string& id, time_point now) const
{
    const auto known = deadlines_.find(id);
    return known != deadlines_.end() && now < known->second;
}

void tombstones::remove_expired(time_point now)
{
    while (!oldest_first_.empty()) {
        const auto known = deadlines_.find(oldest_first_.front());
        if (known != deadlines_.end() && now < known->second)
            return;
        if (known != deadlines_.end())
            deadlines_.erase(known);
        oldest_first_.pop_front();
    }
}

} // namespace cyclamenrun

#include "evacuated_domains.hpp"

#include <algorithm>

namespace cyclamenrun
{

namespace
{

void add_difference(const std::set<std::string>& from,
                    const std::set<std::string>& without, bool evacuated,
                    std::vector<evacuation_change>& changes)
{
    for (const auto& domain : from) {
        if (!without.contains(domain))
            changes.push_back({domain, evacuated});
    }
}

} // namespace

evacuated_domains::outcome
evacuated_domains::update(const std::vector<evacuation_change>& records,
                          bool whole, std::uint64_t next_offset)
{
    outcome result;
    if (next_offset < next_offset_)
        return result;
    next_offset_ = next_offset;
    if (!whole && records.empty())
        return result;
    const auto before = domains_;
    if (whole)
        domains_.clear();
    for (const auto& record : records) {
        if (!record.evacuated)
            domains_.erase(record.failure_domain);
        else if (domains_.size() < max_evacuated_domains)
            domains_.insert(record.failure_domain);
        else if (!domains_.contains(record.failure_domain))
            result.ignored.push_back(record.failure_domain);
    }
    add_difference(domains_, before, true, result.changes);
    add_difference(before, domains_, false, result.changes);
    std::sort(result.changes.begin(), result.changes.end(),
              [](const auto& left, const auto& right) {
                  return left.failure_domain < right.failure_domain;
              });
    return result;
}

} // namespace cyclamenrun

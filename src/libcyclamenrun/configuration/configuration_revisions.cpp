#include "configuration_revisions.hpp"

#include <algorithm>
#include <array>

namespace cyclamenrun
{

namespace
{

constexpr std::array<std::string_view, 2> role_names{"entry", "agent"};

} // namespace

std::string_view name_of(process_role role)
{
    return role_names.at(static_cast<std::size_t>(role));
}

void configuration_revisions::record(const process_identity& identity,
                                     std::uint64_t revision, time_point now)
{
    const std::lock_guard lock(mutex_);
    if (rows_.size() >= max_processes && !rows_.contains(identity.process))
        make_room(now);
    row& updated = rows_[identity.process];
    updated.identity = identity;
    updated.revision = std::max(updated.revision, revision);
    updated.reported_at = now;
}

void configuration_revisions::remove(const std::string& process)
{
    const std::lock_guard lock(mutex_);
    rows_.erase(process);
}

void configuration_revisions::make_room(time_point now)
{
    std::erase_if(rows_, [now](const auto& entry) {
        return entry.second.reported_at + max_report_age <= now;
    });
    if (rows_.size() < max_processes)
        return;
    const auto oldest = std::min_element(
        rows_.begin(), rows_.end(), [](const auto& left, const auto& right) {
            return left.second.reported_at < right.second.reported_at;
        });
    rows_.erase(oldest);
}

std::vector<v1::ProcessRevision>
configuration_revisions::list(time_point now) const
{
    const std::lock_guard lock(mutex_);
    std::vector<v1::ProcessRevision> processes;
    for (const auto& [name, reported] : rows_) {
        if (reported.reported_at + max_report_age <= now)
            continue;
        v1::ProcessRevision& added = processes.emplace_back();
        added.set_process(name);
        added.set_role(std::string(name_of(reported.identity.role)));
        added.set_failure_domain(reported.identity.failure_domain);
        added.set_revision(reported.revision);
        const auto report_age = std::chrono::duration_cast<milliseconds>(
            now - reported.reported_at);
        added.set_heard_ms_ago(static_cast<std::uint64_t>(
            std::max(report_age, milliseconds(0)).count()));
    }
    return processes;
}

} // namespace cyclamenrun

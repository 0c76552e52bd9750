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

void configuration_revisions::note(const process_identity& who,
                                   std::uint64_t revision, time_point now)
{
    const std::lock_guard lock(mutex_);
    if (rows_.size() >= max_processes && !rows_.contains(who.process))
        make_room(now);
    row& known = rows_[who.process];
    known.who = who;
    known.revision = std::max(known.revision, revision);
    known.heard_at = now;
}

void configuration_revisions::forget(const std::string& process)
{
    const std::lock_guard lock(mutex_);
    rows_.erase(process);
}

void configuration_revisions::make_room(time_point now)
{
    std::erase_if(rows_, [now](const auto& entry) {
        return entry.second.heard_at + kept_for <= now;
    });
    if (rows_.size() < max_processes)
        return;
    const auto oldest = std::min_element(
        rows_.begin(), rows_.end(), [](const auto& left, const auto& right) {
            return left.second.heard_at < right.second.heard_at;
        });
    rows_.erase(oldest);
}

std::vector<v1::ProcessRevision>
configuration_revisions::list(time_point now) const
{
    const std::lock_guard lock(mutex_);
    std::vector<v1::ProcessRevision> processes;
    for (const auto& [name, known] : rows_) {
        if (known.heard_at + kept_for <= now)
            continue;
        v1::ProcessRevision& added = processes.emplace_back();
        added.set_process(name);
        added.set_role(std::string(name_of(known.who.role)));
        added.set_failure_domain(known.who.failure_domain);
        added.set_revision(known.revision);
        const auto silence =
            std::chrono::duration_cast<milliseconds>(now - known.heard_at);
        added.set_heard_ms_ago(static_cast<std::uint64_t>(
            std::max(silence, milliseconds(0)).count()));
    }
    return processes;
}

} // namespace cyclamenrun

#include "logging_vm_list.hpp"

#include "log_event.hpp"

namespace cyclamenrun
{

namespace
{

void log_vm(log_event_name event, const vm& which)
{
    log_event(log_severity::info, event,
              {{log_key::upstream, which.id},
               {log_key::service, which.service},
               {log_key::failure_domain, which.failure_domain},
               {log_key::address, which.address}});
}

} // namespace

void logging_vm_list::note(const vm_list& list)
{
    std::map<std::string, vm> now;
    for (const auto& each : list.vms) {
        if (!is_first_)
            note_change(each);
        now.emplace(each.id, each);
    }
    if (is_first_)
        log_event(log_severity::info, log_event_name::vm_list_read,
                  {{log_key::count, now.size()}});
    note_removed(now);
    known_ = std::move(now);
    is_first_ = false;
}

void logging_vm_list::note_change(const vm& now)
{
    const auto before = known_.find(now.id);
    if (before != known_.end() && before->second == now)
        return;
    log_vm(now.state == vm_state::leaving ? log_event_name::upstream_leaving
                                          : log_event_name::upstream_found,
           now);
}

void logging_vm_list::note_removed(const std::map<std::string, vm>& now) const
{
    for (const auto& [id, which] : known_) {
        if (!now.contains(id))
            log_vm(log_event_name::upstream_removed, which);
    }
}

} // namespace cyclamenrun

#include "vm_list_change_logger.hpp"

#include "log_event.hpp"

namespace cyclamenrun
{

namespace
{

void log_vm(log_event_name event, const vm& listed_vm)
{
    log_event(log_severity::info, event,
              {{log_key::upstream, listed_vm.id},
               {log_key::service, listed_vm.service},
               {log_key::failure_domain, listed_vm.failure_domain},
               {log_key::address, listed_vm.address}});
}

} // namespace

void vm_list_change_logger::log_changes(const vm_list& list)
{
    std::map<std::string, vm> current;
    for (const auto& each : list.vms) {
        if (!is_first_)
            log_change(each);
        current.emplace(each.id, each);
    }
    if (is_first_)
        log_event(log_severity::info, log_event_name::vm_list_read,
                  {{log_key::count, current.size()}});
    log_removed(current);
    known_ = std::move(current);
    is_first_ = false;
}

void vm_list_change_logger::log_change(const vm& current)
{
    const auto before = known_.find(current.id);
    if (before != known_.end() && before->second == current)
        return;
    log_vm(current.state == vm_state::leaving ? log_event_name::upstream_leaving
                                              : log_event_name::upstream_found,
           current);
}

void vm_list_change_logger::log_removed(
    const std::map<std::string, vm>& current) const
{
    for (const auto& [id, listed_vm] : known_) {
        if (!current.contains(id))
            log_vm(log_event_name::upstream_removed, listed_vm);
    }
}

} // namespace cyclamenrun

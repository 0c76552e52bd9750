#ifndef CYCLAMENRUN_VM_LIST_CHANGE_LOGGER_HPP
#define CYCLAMENRUN_VM_LIST_CHANGE_LOGGER_HPP

#include "vm_list.hpp"

#include <map>
#include <string>

namespace cyclamenrun
{

/**
 * Logs changes of the platform's list of VMs. Not thread-safe: one thread
 * passes all lists.
 */
class vm_list_change_logger
{
public:
    /** Logs changes since the last list; for the first, the number of VMs. */
    void log_changes(const vm_list& list);

private:
    void log_change(const vm& current);
    void log_removed(const std::map<std::string, vm>& current) const;

    std::map<std::string, vm> known_;
    bool is_first_ = true;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_VM_LIST_CHANGE_LOGGER_HPP

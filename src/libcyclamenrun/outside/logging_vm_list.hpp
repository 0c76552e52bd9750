#ifndef CYCLAMENRUN_LOGGING_VM_LIST_HPP
#define CYCLAMENRUN_LOGGING_VM_LIST_HPP

#include "vm_list.hpp"

#include <map>
#include <string>

namespace cyclamenrun
{

/**
 * Logs how the platform's list of VMs changes. Not thread-safe: lists come
 * from one thread.
 */
class logging_vm_list
{
public:
    /** What the first list holds is counted, not told one by one. */
    void note(const vm_list& list);

private:
    void note_change(const vm& now);
    void note_removed(const std::map<std::string, vm>& now) const;

    std::map<std::string, vm> known_;
    bool is_first_ = true;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LOGGING_VM_LIST_HPP

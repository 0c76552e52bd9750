#ifndef CYCLAMENRUN_VM_LIST_HPP
#define CYCLAMENRUN_VM_LIST_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenrun
{

enum class vm_state : std::uint8_t {
    live,
    leaving ///< its process gets no new work
};

std::string_view name_of(vm_state state);
std::optional<vm_state> vm_state_of(std::string_view name);

/** A VM in the platform's list. */
struct vm {
    std::string id;
    std::string address; ///< IP:PORT of the process that runs on it
    std::string region;
    std::string failure_domain;
    std::string service;
    vm_state state = vm_state::live;

    bool operator==(const vm&) const = default;
};

/** The platform's list of VMs, which lags the actual state. */
struct vm_list {
    std::uint64_t revision = 0;
    std::vector<vm> vms;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_VM_LIST_HPP

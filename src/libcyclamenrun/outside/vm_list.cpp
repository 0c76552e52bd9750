#include "vm_list.hpp"

#include <array>

namespace cyclamenrun
{
namespace
{

constexpr std::array<std::string_view, 2> state_names{"live", "leaving"};

} // namespace

std::string_view name_of(vm_state state)
{
    return state_names.at(static_cast<std::size_t>(state));
}

std::optional<vm_state> vm_state_of(std::string_view name)
{
    for (std::size_t at = 0; at < state_names.size(); ++at) {
        if (state_names[at] == name)
            return static_cast<vm_state>(at);
    }
    return {};
}

} // namespace cyclamenrun

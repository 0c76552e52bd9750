#include "close_reason.hpp"

#include <array>

namespace cyclamenrun
{

namespace
{

/** In the order of the enum. */
constexpr std::array<std::string_view, 4> names{"last_answer", "rejection",
                                                "idle_timeout", "stopping"};

} // namespace

std::string_view name_of(close_reason reason)
{
    return names.at(static_cast<std::size_t>(reason));
}

} // namespace cyclamenrun

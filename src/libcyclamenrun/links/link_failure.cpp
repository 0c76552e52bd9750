#include "link_failure.hpp"

#include <array>

namespace cyclamenrun
{

namespace
{

constexpr std::array<std::string_view, 9> names{
    "connect_failed", "unauthenticated", "connection_lost",
    "reset_by_peer",  "protocol_error",  "too_large",
    "cancelled",      "timed_out",       "too_many_streams",
};
static_assert(names.size() ==
              static_cast<std::size_t>(link_failure::too_many_streams) + 1);

} // namespace

std::string_view name_of(link_failure failure)
{
    return names.at(static_cast<std::size_t>(failure));
}

} // namespace cyclamenrun

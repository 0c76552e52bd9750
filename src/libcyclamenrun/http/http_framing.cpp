#include "http_framing.hpp"

#include <array>

namespace cyclamenrun
{

namespace
{

/** In the order of the enum. */
constexpr std::array<std::string_view, 4> names{"length", "chunked", "none",
                                                "connection"};

} // namespace

std::string_view name_of(http_framing framing)
{
    return names.at(static_cast<std::size_t>(framing));
}

} // namespace cyclamenrun

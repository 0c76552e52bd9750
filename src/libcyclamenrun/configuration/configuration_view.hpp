#ifndef CYCLAMENRUN_CONFIGURATION_VIEW_HPP
#define CYCLAMENRUN_CONFIGURATION_VIEW_HPP

#include "configuration_resources.hpp"

namespace cyclamenrun
{

/**
 * Immutable configuration at one revision. A request uses one view throughout,
 * so that it never sees two different configurations.
 */
struct configuration_view {
    std::uint64_t revision = 0;
    configuration_resources resources;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CONFIGURATION_VIEW_HPP

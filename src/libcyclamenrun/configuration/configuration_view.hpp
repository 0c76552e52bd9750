#ifndef CYCLAMENRUN_CONFIGURATION_VIEW_HPP
#define CYCLAMENRUN_CONFIGURATION_VIEW_HPP

#include "configuration_resources.hpp"

namespace cyclamenrun
{

/**
 * What is in force at one revision; never changes, so that a request sees one
 * configuration from its start to its end.
 */
struct configuration_view {
    std::uint64_t revision = 0;
    configuration_resources resources;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CONFIGURATION_VIEW_HPP

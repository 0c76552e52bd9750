#ifndef CYCLAMENRUN_GATEWAY_COUNT_HOOKS_HPP
#define CYCLAMENRUN_GATEWAY_COUNT_HOOKS_HPP

#include "gateway_count_history.hpp"

#include <functional>
#include <vector>

namespace cyclamenrun
{

/** Access to the numbers of gateways that this process remembers. */
struct gateway_count_hooks {
    std::function<std::vector<past_gateway_count>()> counts;
    /** Called with each that another process remembers. */
    std::function<void(const past_gateway_count&)> learn;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_GATEWAY_COUNT_HOOKS_HPP

#ifndef CYCLAMENRUN_SHARED_LIMITS_HPP
#define CYCLAMENRUN_SHARED_LIMITS_HPP

#include "peer_exchange.hpp"
#include "upstream_limits.hpp"

#include <functional>

namespace cyclamenrun
{

/**
 * The limits of upstreams as a table that gateways share. `merged` is called
 * with each observation of another gateway that changes a limit here.
 */
peer_table
make_limits_table(upstream_limits& limits,
                  std::function<void(const limit_observation&)> merged);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SHARED_LIMITS_HPP

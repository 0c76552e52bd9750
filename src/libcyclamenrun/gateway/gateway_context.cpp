#include "gateway_context.hpp"

#include <utility>

namespace cyclamenrun
{

gateway_context::gateway_context(std::shared_ptr<link_reactor> on,
                                 std::shared_ptr<const gateway_dialect> spoken,
                                 upstream_board::hooks board_hooks,
                                 const retry_budget_settings& retries,
                                 std::optional<milliseconds> lease_term,
                                 std::uint64_t seed)
    : reactor(std::move(on)), dialect(std::move(spoken)), channels(reactor),
      callers(reactor), board(std::move(board_hooks)), budget(retries),
      lease(lease_term), random(seed), choice(board, random)
{
}

} // namespace cyclamenrun

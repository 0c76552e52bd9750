#ifndef CYCLAMENRUN_ORDER_RUNNER_HPP
#define CYCLAMENRUN_ORDER_RUNNER_HPP

#include "clock.hpp"
#include "order_lease.hpp"
#include "order_queue.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

namespace cyclamenrun
{

class order_claims;

/** State of an agent's orders, as shown in the dump. */
enum class order_runner_state : std::uint8_t {
    settled,      ///< the engine has executed all orders
    spread_out,   ///< waits for its random start time or backoff to pass
    claiming,     ///< waits for its claim, or for an earlier lease to expire
    log_out,      ///< the claim could not be read or written
    acted,        ///< sent an order
    lease_lapsed, ///< held back an order because the lease had expired
    stood_down,   ///< another agent has taken over
};

std::string_view name_of(order_runner_state state);

/** Sends an agent's orders to its engine, one at a time, under its lease. */
class order_runner
{
public:
    /** Sends an order and waits for the answer until the order's deadline. */
    using engine_function = std::function<order_result(const engine_order&)>;

    order_runner(std::string upstream, std::uint64_t incarnation,
                 order_lease_settings lease, order_claims& claims,
                 order_queue& queue, engine_function engine,
                 clock_function clock);

    /** Takes one step, which may block on the log or on the engine. */
    order_runner_state run_step();

    /** When to call run_step() next; time_point::max() if there is no need. */
    time_point wake_at() const;

    std::uint64_t fencing_number() const { return lease_.fencing_number(); }

private:
    order_runner_state read_claim();
    order_runner_state append_claim();
    order_runner_state act(const desired_order& order);

    order_lease_settings settings_;
    order_lease lease_;
    order_claims& claims_;
    order_queue& queue_;
    engine_function engine_;
    clock_function clock_;
    order_runner_state state_ = order_runner_state::settled;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ORDER_RUNNER_HPP

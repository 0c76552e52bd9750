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

/** Where an agent's orders stand, for the dump. */
enum class order_runner_state : std::uint8_t {
    settled,      ///< the engine has all it is to have
    spread_out,   ///< waits for its turn at the weight store
    claiming,     ///< waits for its claim, or for an earlier lease to end
    log_out,      ///< the claim could not be read or written
    acted,        ///< gave an order
    lease_lapsed, ///< had an order in hand when its lease had run out
    stood_down,   ///< another agent has taken over
};

std::string_view name_of(order_runner_state state);

/** Gives an agent's orders to its engine, one at a time, under its lease. */
class order_runner
{
public:
    /** Sends to the engine and waits for the answer, until the deadline. */
    using engine_function = std::function<order_result(const engine_order&)>;

    order_runner(std::string upstream, std::uint64_t incarnation,
                 order_lease_settings lease, order_claims& claims,
                 order_queue& queue, engine_function engine,
                 clock_function clock);

    /** One step, which may block on the log or on the engine. */
    order_runner_state pass();

    /** When pass() has something to do next. */
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

#include "order_runner.hpp"

#include "order_claims.hpp"

#include <algorithm>
#include <array>

namespace cyclamenrun
{

namespace
{

constexpr std::array<std::string_view, 7> state_names{
    "settled", "spread_out",   "claiming",   "log_out",
    "acted",   "lease_lapsed", "stood_down",
};

} // namespace

std::string_view name_of(order_runner_state state)
{
    return state_names.at(static_cast<std::size_t>(state));
}

order_runner::order_runner(std::string upstream, std::uint64_t incarnation,
                           order_lease_settings lease, order_claims& claims,
                           order_queue& queue, engine_function engine,
                           clock_function clock)
    : settings_(lease), lease_(std::move(upstream), incarnation, lease),
      claims_(claims), queue_(queue), engine_(std::move(engine)),
      clock_(std::move(clock))
{
}

order_runner_state order_runner::run_step()
{
    const auto order = queue_.next(clock_());
    if (!order)
        return state_ = queue_.is_complete() ? order_runner_state::settled
                                             : order_runner_state::spread_out;
    switch (lease_.next(clock_())) {
    case lease_step::read_claim:
        return state_ = read_claim();
    case lease_step::append_claim:
        return state_ = append_claim();
    case lease_step::act:
        return state_ = act(*order);
    case lease_step::stood_down:
        return state_ = order_runner_state::stood_down;
    case lease_step::wait:
        break;
    }
    return state_ = order_runner_state::claiming;
}

time_point order_runner::wake_at() const
{
    if (state_ == order_runner_state::settled ||
        state_ == order_runner_state::stood_down)
        return time_point::max();
    return std::max(queue_.wake_at(), lease_.wake_at());
}

order_runner_state order_runner::read_claim()
{
    const time_point started = clock_();
    const auto current = claims_.read(lease_.claim().upstream());
    if (!current) {
        lease_.on_claim_failed(clock_());
        return order_runner_state::log_out;
    }
    lease_.on_claim_read(*current, started, clock_());
    return order_runner_state::claiming;
}

order_runner_state order_runner::append_claim()
{
    lease_.on_claim_sent(clock_());
    if (claims_.append(lease_.claim()))
        return order_runner_state::claiming;
    lease_.on_claim_failed(clock_());
    return order_runner_state::log_out;
}

order_runner_state order_runner::act(const desired_order& order)
{
    const time_point now = clock_();
    // The process may have been frozen for longer than its lease since
    // order_lease::next() returned `act`. An engine that ignores fencing
    // numbers would then execute this order after those of the next agent.
    if (!lease_.may_send_order(now))
        return order_runner_state::lease_lapsed;
    const auto result = engine_({lease_.fencing_number(), order.action,
                                 order.value, now + settings_.order_limit});
    queue_.on_result(order, result, clock_());
    return order_runner_state::acted;
}

} // namespace cyclamenrun

#ifndef CYCLAMENRUN_ORDER_QUEUE_HPP
#define CYCLAMENRUN_ORDER_QUEUE_HPP

#include "clock.hpp"
#include "engine_client.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenrun
{

class configuration_resources;

/** One thing that an engine is to have loaded or to be. */
struct desired_order {
    engine_action action = engine_action::load_model;
    std::string value;

    bool operator==(const desired_order&) const = default;
};

/**
 * What the assignments want of an upstream, in the order in which to give it:
 * models, versions, adapters, then the role. Where assignments of a service
 * name different roles, a rendezvous hash deals upstreams out to them.
 */
std::vector<desired_order>
desired_orders(const configuration_resources& resources,
               const std::string& service, const std::string& upstream);

/** How the weight store is spared. */
struct order_queue_settings {
    double loads_per_second = 2.0; ///< that the store bears for one service
    milliseconds first_backoff{1'000};
    milliseconds max_backoff{300'000};
};

/** How an order went. */
enum class order_result : std::uint8_t {
    done,
    failed,        ///< or not answered: it is given again
    store_limited, ///< the weight store had no room
    old_number,    ///< the engine has seen a higher fencing number
};

/**
 * The orders that an agent has still to give, one at a time. Loads start at a
 * random moment of a window that grows with the number of upstreams of the
 * service, and back off at random: when a failure domain restarts, all its
 * agents come with the same orders at once, and the weight store's limit
 * would turn most away, again and again.
 */
class order_queue
{
public:
    using random_function = std::function<double()>; ///< even in [0, 1)

    order_queue(order_queue_settings settings, random_function random);

    /** `peers`: upstreams of the service, whose agents may load as well. */
    void on_desired(std::vector<desired_order> desired, std::size_t peers,
                    time_point now);

    /** Everything it had loaded is lost. */
    void on_engine_restarted(time_point now);

    /** The order to give now, if any; on_result() must follow. */
    std::optional<desired_order> next(time_point now) const;
    void on_result(const desired_order& order, order_result result,
                   time_point now);

    /** Nothing is left to be given. */
    bool is_settled() const { return !pending(); }
    time_point wake_at() const { return start_at_; }

    static constexpr std::size_t max_orders = 1024;

private:
    std::optional<desired_order> pending() const;
    void spread_start(time_point now);

    order_queue_settings settings_;
    random_function random_;
    std::vector<desired_order> desired_;
    std::vector<desired_order> done_;
    std::size_t peers_ = 1;
    std::uint32_t failures_ = 0;
    time_point start_at_ = time_point::min();
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ORDER_QUEUE_HPP

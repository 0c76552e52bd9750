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

/** A model, version, adapter or role that an engine should have. */
struct desired_order {
    engine_action action = engine_action::load_model;
    std::string value;

    bool operator==(const desired_order&) const = default;
};

/**
 * Returns the orders that the assignments require for an upstream, in sending
 * order: models, versions, adapters, then the role. If assignments of a service
 * have different roles, a rendezvous hash distributes its upstreams among them.
 */
std::vector<desired_order>
desired_orders(const configuration_resources& resources,
               const std::string& service, const std::string& upstream);

/** Limits the load on the weight store. */
struct order_queue_settings {
    double loads_per_second = 2.0; ///< capacity of the store for one service
    milliseconds first_backoff{1'000};
    milliseconds max_backoff{300'000};
};

/** The result of an order. */
enum class order_result : std::uint8_t {
    done,
    failed,               ///< failed or not answered; the order is sent again
    store_limited,        ///< the weight store was at its limit
    stale_fencing_number, ///< the engine has seen a higher fencing number
};

/**
 * The orders that an agent has yet to send, one at a time. Loads start at a
 * random time within a window that grows with the number of upstreams of the
 * service. After any failure the queue retries with a randomized exponential
 * backoff. This avoids a thundering herd: when a failure domain restarts, all
 * its agents have the same orders at once, and the weight store would reject
 * most of them repeatedly.
 */
class order_queue
{
public:
    using random_function = std::function<double()>; ///< uniform in [0, 1)

    order_queue(order_queue_settings settings, random_function random);

    /** `peers`: upstreams of the service whose agents may load at once. */
    void set_desired_orders(std::vector<desired_order> desired,
                            std::size_t peers, time_point now);

    /** Queues all orders again, since a restarted engine has nothing loaded. */
    void on_engine_restarted(time_point now);

    /**
     * Returns the order to send now, if any. The caller reports its result to
     * on_result().
     */
    std::optional<desired_order> next(time_point now) const;
    void on_result(const desired_order& order, order_result result,
                   time_point now);

    /** Whether all orders are done. */
    bool is_complete() const { return !pending(); }
    /**
     * Time before which next() returns no order: the end of the random delay
     * or backoff, also if no order is pending.
     */
    time_point wake_at() const { return start_at_; }

    static constexpr std::size_t max_orders = 1024;

private:
    /** Returns the first order that is not done. */
    std::optional<desired_order> pending() const;
    void randomize_start(time_point now);

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

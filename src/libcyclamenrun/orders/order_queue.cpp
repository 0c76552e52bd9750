#include "order_queue.hpp"

#include "configuration_resources.hpp"
#include "digest.hpp"

#include <algorithm>

namespace cyclamenrun
{

namespace
{

void add_once(std::vector<desired_order>& orders, desired_order order)
{
    if (order.value.empty() || orders.size() >= order_queue::max_orders)
        return;
    if (std::find(orders.begin(), orders.end(), order) == orders.end())
        orders.push_back(std::move(order));
}

std::vector<const v1::Assignment*>
assignments_of(const configuration_resources& resources,
               const std::string& service)
{
    auto assignments = resources.assignments();
    std::erase_if(assignments, [&service](const v1::Assignment* each) {
        return each->service() != service;
    });
    return assignments;
}

/** Selects an assignment by rendezvous hashing and returns its role. */
std::string role_for(const std::vector<const v1::Assignment*>& assignments,
                     const std::string& upstream)
{
    const std::uint64_t seed = hash64(upstream);
    const auto chosen = std::max_element(
        assignments.begin(), assignments.end(),
        [seed](const v1::Assignment* left, const v1::Assignment* right) {
            return hash64(left->name(), seed) < hash64(right->name(), seed);
        });
    if (chosen == assignments.end())
        return {};
    return (*chosen)->role().empty() ? "mixed" : (*chosen)->role();
}

bool needs_weights(engine_action action)
{
    return action != engine_action::set_role;
}

bool contains(const std::vector<desired_order>& orders,
              const desired_order& order)
{
    return std::find(orders.begin(), orders.end(), order) != orders.end();
}

} // namespace

std::vector<desired_order>
desired_orders(const configuration_resources& resources,
               const std::string& service, const std::string& upstream)
{
    const auto assignments = assignments_of(resources, service);
    std::vector<desired_order> orders;
    for (const auto* each : assignments)
        add_once(orders, {engine_action::load_model, each->model()});
    for (const auto* each : assignments)
        add_once(orders, {engine_action::load_version, each->version()});
    for (const auto* each : assignments)
        add_once(orders, {engine_action::load_adapter, each->adapter()});
    add_once(orders,
             {engine_action::set_role, role_for(assignments, upstream)});
    return orders;
}

order_queue::order_queue(order_queue_settings settings, random_function random)
    : settings_(settings), random_(std::move(random))
{
}

void order_queue::set_desired_orders(std::vector<desired_order> desired,
                                     std::size_t peers, time_point now)
{
    peers_ = std::max<std::size_t>(peers, 1);
    if (desired == desired_)
        return;
    if (desired.size() > max_orders)
        desired.resize(max_orders);
    // A role or version that was replaced has to be set again when it is
    // assigned again.
    std::erase_if(done_, [&desired](const desired_order& order) {
        return !contains(desired, order);
    });
    desired_ = std::move(desired);
    randomize_start(now);
}

void order_queue::on_engine_restarted(time_point now)
{
    done_.clear();
    randomize_start(now);
}

void order_queue::randomize_start(time_point now)
{
    failures_ = 0;
    start_at_ = now;
    const auto first = pending();
    if (!first || !needs_weights(first->action))
        return;
    const double window_ms =
        1000.0 * static_cast<double>(peers_) / settings_.loads_per_second;
    start_at_ += milliseconds(static_cast<std::int64_t>(random_() * window_ms));
}

std::optional<desired_order> order_queue::next(time_point now) const
{
    return now < start_at_ ? std::nullopt : pending();
}

std::optional<desired_order> order_queue::pending() const
{
    for (const auto& order : desired_) {
        if (!contains(done_, order))
            return order;
    }
    return {};
}

void order_queue::on_result(const desired_order& order, order_result result,
                            time_point now)
{
    if (result == order_result::done) {
        failures_ = 0;
        if (contains(desired_, order) && !contains(done_, order))
            done_.push_back(order);
        return;
    }
    const auto doublings = std::min<std::uint32_t>(failures_++, 20);
    const auto backoff = std::min(settings_.max_backoff,
                                  settings_.first_backoff * (1 << doublings));
    start_at_ = now + backoff / 2 +
                milliseconds(static_cast<std::int64_t>(
                    random_() * static_cast<double>(backoff.count())));
}

} // namespace cyclamenrun

#include "engine_monitor.hpp"

#include "load.pb.h"
#include "log_event.hpp"

#include <utility>

namespace cyclamenrun
{

// What a monitor tells gateways and operators of its engine's load.

namespace
{

/**
 * An unchanged load is sent again after this time, in case the last datagram
 * was lost.
 */
constexpr milliseconds republish_interval{400};
constexpr milliseconds publish_interval_per_gateway{8};

} // namespace

milliseconds load_publish_interval(std::size_t gateways)
{
    return static_cast<int>(gateways) * publish_interval_per_gateway;
}

void engine_monitor::record_load_metrics(const engine_load& load)
{
    metrics_.set(exported_metric::engine_running, {}, load.running);
    metrics_.set(exported_metric::engine_queued, {}, load.queued);
    metrics_.set(exported_metric::engine_memory, {"used"},
                 static_cast<double>(load.memory_used));
    metrics_.set(exported_metric::engine_memory, {"all"},
                 static_cast<double>(load.memory_total));
}

void engine_monitor::record_step_metrics()
{
    const auto& steps = starts_.steps();
    for (const auto kind : {step_kind::decode, step_kind::prefill})
        metrics_.set(exported_metric::step_time, {std::string(name_of(kind))},
                     steps.usual_ms(kind) / 1000);
    metrics_.set(exported_metric::engine_slow, {}, steps.is_slow() ? 1 : 0);
    if (steps.is_slow() == slow_since_.has_value())
        return;
    const auto now = reactor_->now();
    if (!slow_since_) {
        slow_since_ = now;
        return;
    }
    const auto lasted =
        std::chrono::duration_cast<milliseconds>(now - *slow_since_);
    slow_since_.reset();
    log_event(log_severity::info, log_event_name::engine_slow,
              {{log_key::address, to_string(settings_.engine)},
               {log_key::duration_ms, lasted}});
}

void engine_monitor::write_load(const engine_load& load,
                                v1::EngineLoad& message) const
{
    message.set_engine_address(to_string(settings_.engine));
    message.set_running(load.running);
    message.set_queued(load.queued);
    const auto& load_estimate = starts_.load_estimate();
    message.set_unread_ms(static_cast<std::uint32_t>(
        load_estimate.prefill_backlog(reactor_->now()).count()));
    message.set_tokens_read_per_ms(load_estimate.prefill_tokens_per_ms());
    message.set_memory_used(load_estimate.occupancy().memory_taken);
    message.set_memory_total(load.memory_total);
    message.set_leaving(load.leaving);
    if (load.leaves_in_ms)
        message.set_leaves_in_ms(*load.leaves_in_ms);
    message.set_started_ms(load.started_ms);
}

void engine_monitor::write_current_load(v1::MonitorNotice& notice) const
{
    if (last_load_)
        write_load(*last_load_, *notice.mutable_load_now());
}

v1::MonitorNotice engine_monitor::load_notice(const engine_load& load) const
{
    v1::MonitorNotice message;
    message.set_gateways(static_cast<std::uint32_t>(gateways_.size()));
    write_identity(message);
    write_load(load, *message.mutable_load());
    return message;
}

void engine_monitor::publish_load(const engine_load& load)
{
    auto bytes = load_notice(load).SerializeAsString();
    const auto now = reactor_->now();
    const bool unchanged = bytes == last_published_ && now < republish_at_;
    const bool too_soon = now < next_publish_at_ &&
                          load.leaving == published_leaving_ &&
                          load.started_ms == published_start_;
    if (unchanged || too_soon)
        return;
    next_publish_at_ = now + load_publish_interval(count_subscribers());
    published_leaving_ = load.leaving;
    published_start_ = load.started_ms;
    for (const auto& [key, gateway] : gateways_) {
        if (gateway.subscribed_until > reactor_->awake_now())
            socket_->send(gateway.address, bytes);
    }
    last_published_ = std::move(bytes);
    republish_at_ = now + republish_interval;
}

} // namespace cyclamenrun

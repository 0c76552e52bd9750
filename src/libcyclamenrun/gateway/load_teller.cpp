#include "load_teller.hpp"

#include "load.pb.h"
#include "log_event.hpp"

#include <utility>

namespace cyclamenrun
{

namespace
{

/** A gateway asks each second; after three that went missing it is gone. */
constexpr milliseconds gateway_lifetime{3500};
/** A load that has not changed is told again this often, in case the last
 * datagram was lost. */
constexpr milliseconds tell_interval{400};
constexpr milliseconds engine_timeout{500};

} // namespace

load_teller::load_teller(std::shared_ptr<link_reactor> reactor,
                         std::shared_ptr<const gateway_dialect> dialect,
                         const load_teller_settings& settings)
    : reactor_(reactor), dialect_(std::move(dialect)), settings_(settings),
      socket_(std::make_shared<datagram_socket>(
          reactor, settings.listen,
          [this](const ip_endpoint& from, std::string_view) {
              const auto now = reactor_->now();
              if (gateways_.size() < most_gateways)
                  gateways_[to_string(from)] = {from, now + gateway_lifetime};
          })),
      engine_(std::make_shared<http_caller>(reactor, settings.engine))
{
}

void load_teller::start()
{
    socket_->start();
    look();
}

void load_teller::look()
{
    next_look_ = steady_now() + settings_.interval;
    forget_silent();
    if (gateways_.empty()) {
        look_later();
        return;
    }
    engine_->call(dialect_->load_call(), {}, steady_now() + engine_timeout,
                  [weak = weak_from_this()](const call_outcome& outcome) {
                      if (const auto self = weak.lock())
                          self->take(outcome);
                  });
}

void load_teller::look_later()
{
    reactor_->post_at(next_look_, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->look();
    });
}

void load_teller::take(const call_outcome& outcome)
{
    const auto load = outcome.and_then([&](const http_reply& reply) {
        return dialect_->read_load(reply);
    });
    if (load)
        tell(*load);
    if (load.has_value() != std::exchange(engine_known_, load.has_value()))
        log_event(log_severity::warning,
                  load ? log_event_name::upstream_recovered
                       : log_event_name::upstream_lost,
                  {{log_key::address, to_string(settings_.engine)}});
    look_later();
}

void load_teller::tell(const engine_load& load)
{
    v1::LoadNotice notice;
    notice.set_engine_address(to_string(settings_.engine));
    notice.set_running(load.running);
    notice.set_queued(load.queued);
    notice.set_memory_used(load.memory_used);
    notice.set_memory_total(load.memory_total);
    notice.set_leaving(load.leaving);
    if (load.leaves_in_ms)
        notice.set_leaves_in_ms(*load.leaves_in_ms);
    notice.set_gateways(static_cast<std::uint32_t>(gateways_.size()));
    auto bytes = notice.SerializeAsString();
    const auto now = reactor_->now();
    if (bytes == last_told_ && now < tell_again_at_)
        return;
    for (const auto& [name, listener] : gateways_)
        socket_->send(listener.address, bytes);
    last_told_ = std::move(bytes);
    tell_again_at_ = now + tell_interval;
}

void load_teller::forget_silent()
{
    const auto now = reactor_->now();
    std::erase_if(gateways_, [&](const auto& entry) {
        return entry.second.forget_at <= now;
    });
}

} // namespace cyclamenrun

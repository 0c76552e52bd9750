#include "load_receiver.hpp"

#include "load.pb.h"

#include <utility>

namespace cyclamenrun
{

namespace
{

/** Time between two questions; a monitor forgets after three of them. */
constexpr milliseconds ask_interval{1000};
/** A host that has just appeared is asked this soon. */
constexpr milliseconds look_interval{100};

} // namespace

load_receiver::load_receiver(std::shared_ptr<link_reactor> reactor,
                             const ip_endpoint& listen,
                             std::uint16_t monitor_port, std::string name,
                             hooks on)
    : reactor_(std::move(reactor)), monitor_port_(monitor_port),
      on_(std::move(on))
{
    v1::LoadSubscription subscription;
    subscription.set_gateway(std::move(name));
    subscription_ = subscription.SerializeAsString();
    socket_ = std::make_shared<datagram_socket>(
        reactor_, listen, [this](const ip_endpoint&, std::string_view bytes) {
            take(bytes);
        });
}

void load_receiver::start()
{
    socket_->start();
    ask();
}

void load_receiver::ask()
{
    const auto now = reactor_->now();
    const auto hosts = on_.engine_hosts();
    const bool all = now >= ask_all_at_;
    if (all)
        ask_all_at_ = now + ask_interval;
    for (const auto& host : hosts) {
        if (all || !asked_.contains(host))
            socket_->send({host, monitor_port_}, subscription_);
    }
    asked_ = hosts;
    reactor_->post_at(now + look_interval, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->ask();
    });
}

void load_receiver::take(std::string_view bytes)
{
    v1::LoadNotice notice;
    if (!notice.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return;
    const auto engine = parse_ip_endpoint(notice.engine_address());
    if (!engine)
        return;
    engine_load load;
    load.running = notice.running();
    load.queued = notice.queued();
    load.memory_used = notice.memory_used();
    load.memory_total = notice.memory_total();
    load.leaving = notice.leaving();
    if (notice.has_leaves_in_ms())
        load.leaves_in_ms = notice.leaves_in_ms();
    on_.load(*engine, load);
    if (notice.gateways() > 0)
        on_.gateways(notice.gateways());
}

} // namespace cyclamenrun

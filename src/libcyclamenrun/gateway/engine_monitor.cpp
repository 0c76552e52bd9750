#include "engine_monitor.hpp"

#include "load.pb.h"
#include "log_event.hpp"

#include <algorithm>
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
/** An engine whose slots are taken answers who it is when one is free. */
constexpr milliseconds identity_timeout{2000};
constexpr milliseconds identity_retry{300};

constexpr milliseconds spacing_per_gateway{8};

engine_view view_of(const engine_load& load)
{
    engine_view view;
    view.running = load.running;
    view.starting = load.starting;
    view.queued = load.queued;
    view.next_tokens = load.next_tokens;
    view.memory_used = load.memory_used;
    view.memory_total = load.memory_total;
    view.generations = load.generations;
    return view;
}

} // namespace

milliseconds tell_spacing(std::size_t gateways)
{
    return static_cast<int>(gateways) * spacing_per_gateway;
}

engine_monitor::engine_monitor(const std::shared_ptr<link_reactor>& reactor,
                               std::shared_ptr<const gateway_dialect> dialect,
                               const engine_monitor_settings& settings,
                               exported_metrics& metrics)
    : reactor_(reactor), dialect_(std::move(dialect)), settings_(settings),
      socket_(std::make_shared<datagram_socket>(
          reactor, settings.listen,
          [this](const ip_endpoint& from, std::string_view bytes) {
              take_request(from, bytes);
          })),
      engine_(std::make_shared<http_caller>(reactor, settings.engine)),
      identity_(std::make_shared<http_caller>(reactor, settings.engine)),
      metrics_(metrics)
{
}

void engine_monitor::start()
{
    socket_->start();
    look();
}

void engine_monitor::take_request(const ip_endpoint& from,
                                  std::string_view bytes)
{
    v1::MonitorRequest request;
    if (!request.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return;
    const auto name = to_string(from);
    auto* const gateway = know(from, name);
    if (!request.health_target().empty()) {
        health_target_ = request.health_target();
        identify();
    }
    if (request.loads_wanted() && gateway != nullptr)
        take_subscription(*gateway);
    if (!request.turn_ended().empty()) {
        turns_.end(request.turn_ended());
        give_turn();
    }
    if (!request.start_ended().empty()) {
        starts_.end(request.start_ended());
        give_starts();
    }
    if (request.has_start_wanted())
        take_start(from, name, request.start_wanted());
    if (!request.turn_wanted().empty())
        take_turn(from, name, request);
}

engine_monitor::known_gateway* engine_monitor::know(const ip_endpoint& from,
                                                    const std::string& name)
{
    if (gateways_.size() >= most_gateways && !gateways_.contains(name))
        return nullptr;
    auto& gateway = gateways_[name];
    gateway.address = from;
    gateway.forget_at = reactor_->now() + gateway_lifetime;
    return &gateway;
}

void engine_monitor::take_subscription(known_gateway& gateway)
{
    const auto now = reactor_->now();
    const bool is_new = gateway.loads_until <= now;
    gateway.loads_until = now + gateway_lifetime;
    if (!is_new)
        return;
    // Who is heard can be asked to read the directory, whatever its engine.
    v1::MonitorNotice greeting;
    greeting.set_gateways(static_cast<std::uint32_t>(gateways_.size()));
    socket_->send(gateway.address, last_load_ ? load_notice(*last_load_)
                                              : greeting.SerializeAsString());
}

std::size_t engine_monitor::listeners() const
{
    const auto now = reactor_->now();
    return std::count_if(
        gateways_.begin(), gateways_.end(),
        [&](const auto& entry) { return entry.second.loads_until > now; });
}

void engine_monitor::take_turn(const ip_endpoint& from,
                               const std::string& gateway,
                               const v1::MonitorRequest& request)
{
    const auto& id = request.turn_wanted();
    const auto tokens = request.turn_tokens();
    v1::MonitorNotice notice;
    if (request.turn_into() && !starts_.has_room_for_copy(tokens)) {
        turns_.end(id);
        notice.set_turn_refused(id);
    } else if (turns_.ask({id, gateway, tokens}, reactor_->now())) {
        metrics_.count(exported_metric::turns);
        notice.set_turn_given(id);
    } else {
        notice.set_turn_waits(id);
    }
    write_identity(notice);
    write_load_now(notice);
    socket_->send(from, notice.SerializeAsString());
}

void engine_monitor::give_turn()
{
    const auto holder = turns_.holder(reactor_->now());
    if (!holder)
        return;
    const auto found = gateways_.find(holder->gateway);
    if (found == gateways_.end())
        return;
    v1::MonitorNotice notice;
    metrics_.count(exported_metric::turns);
    notice.set_turn_given(holder->id);
    socket_->send(found->second.address, notice.SerializeAsString());
}

void engine_monitor::take_start(const ip_endpoint& from,
                                const std::string& gateway,
                                const v1::StartWanted& wanted)
{
    // The datagram that said so was lost.
    if (starts_.was_given(wanted.id())) {
        send_given(gateway, wanted.id());
        return;
    }
    const auto now = reactor_->now();
    start_request asked;
    asked.id = wanted.id();
    asked.gateway = gateway;
    asked.team = wanted.team();
    asked.prompt_tokens = wanted.prompt_tokens();
    asked.output_tokens = wanted.output_tokens();
    asked.first_due = now + milliseconds(wanted.first_due_ms());
    starts_.set_slots(wanted.slots());
    if (!starts_.leaving()) {
        starts_.ask(asked, now);
        give_starts();
        if (starts_.was_given(asked.id))
            return;
    }
    v1::MonitorNotice notice;
    notice.mutable_start_waits()->set_id(wanted.id());
    notice.mutable_start_waits()->set_refused(starts_.leaving());
    notice.mutable_start_waits()->set_passed_over(
        starts_.is_passed_over(asked, now));
    write_load_now(notice);
    socket_->send(from, notice.SerializeAsString());
}

void engine_monitor::send_given(const std::string& gateway,
                                const std::string& id)
{
    const auto found = gateways_.find(gateway);
    if (found == gateways_.end())
        return;
    v1::MonitorNotice notice;
    write_identity(notice);
    const auto place = starts_.outlook().place();
    auto& given = *notice.mutable_start_given();
    given.set_id(id);
    given.set_slots_taken(static_cast<std::uint32_t>(place.slots_taken));
    given.set_memory_taken(place.memory_taken);
    write_load_now(notice);
    socket_->send(found->second.address, notice.SerializeAsString());
}

void engine_monitor::give_starts()
{
    // A start that does not say who the engine is may be turned away there.
    if (is_identifying())
        return;
    for (const auto& start : starts_.give(reactor_->now())) {
        metrics_.count(exported_metric::starts);
        send_given(start.gateway, start.id);
    }
    metrics_.set(exported_metric::starts_waiting, {},
                 static_cast<double>(starts_.waiting()));
    give_starts_later();
}

void engine_monitor::give_starts_later()
{
    const auto now = reactor_->now();
    const auto next = starts_.next_event(now);
    const bool due_sooner = give_due_ > now && next && give_due_ <= *next;
    if (!next || due_sooner)
        return;
    give_due_ = *next;
    reactor_->post_at(*next, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->give_starts();
    });
}

void engine_monitor::identify()
{
    const auto now = steady_now();
    if (health_target_.empty() || !engine_id_.empty() || !last_load_ ||
        identity_->busy() || now < identify_at_)
        return;
    identify_at_ = now + identity_retry;
    identity_->call(dialect_->health_call(health_target_), {},
                    now + identity_timeout,
                    [weak = weak_from_this()](const call_outcome& outcome) {
                        if (const auto self = weak.lock())
                            self->take_identity(outcome);
                    });
}

void engine_monitor::take_identity(const call_outcome& outcome)
{
    if (!outcome)
        return;
    const auto id = dialect_->read_identity(*outcome);
    if (!id)
        return;
    engine_id_ = *id;
    tell_next_at_ = {};
    last_told_.clear();
    give_starts();
}

bool engine_monitor::is_identifying() const
{
    return engine_id_.empty() && identity_->busy() &&
           steady_now() < identify_at_;
}

void engine_monitor::write_identity(v1::MonitorNotice& notice) const
{
    if (engine_id_.empty())
        return;
    notice.mutable_engine()->set_address(to_string(settings_.engine));
    notice.mutable_engine()->set_id(engine_id_);
}

void engine_monitor::look()
{
    next_look_ = steady_now() + settings_.interval;
    forget_silent();
    if (gateways_.empty()) {
        look_later();
        return;
    }
    looked_at_ = steady_now();
    engine_->call(dialect_->load_call(), {}, steady_now() + engine_timeout,
                  [weak = weak_from_this()](const call_outcome& outcome) {
                      if (const auto self = weak.lock())
                          self->take(outcome);
                  });
}

void engine_monitor::look_later()
{
    reactor_->post_at(next_look_, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->look();
    });
}

void engine_monitor::take(const call_outcome& outcome)
{
    const auto load = outcome.and_then(
        [&](const http_reply& reply) { return dialect_->read_load(reply); });
    metrics_.observe(exported_metric::load_time, {}, steady_now() - looked_at_);
    if (load) {
        measure(*load);
        last_load_ = *load;
        starts_.take_view(view_of(*load), load->leaving, reactor_->now());
        give_starts();
        tell(*load);
        if (load->leaving && leaving_)
            std::exchange(leaving_, nullptr)();
    } else {
        metrics_.count(exported_metric::load_failures);
        // It may be another one when it answers again.
        engine_id_.clear();
        last_load_.reset();
    }
    identify();
    if (load.has_value() != std::exchange(engine_known_, load.has_value()))
        log_event(log_severity::warning,
                  load ? log_event_name::upstream_recovered
                       : log_event_name::upstream_lost,
                  {{log_key::address, to_string(settings_.engine)}});
    look_later();
}

void engine_monitor::measure(const engine_load& load)
{
    metrics_.set(exported_metric::engine_running, {}, load.running);
    metrics_.set(exported_metric::engine_queued, {}, load.queued);
    metrics_.set(exported_metric::engine_memory, {"used"},
                 static_cast<double>(load.memory_used));
    metrics_.set(exported_metric::engine_memory, {"all"},
                 static_cast<double>(load.memory_total));
}

void engine_monitor::write_load(const engine_load& load,
                                v1::EngineLoad& message) const
{
    message.set_engine_address(to_string(settings_.engine));
    message.set_running(load.running);
    message.set_queued(load.queued);
    const auto& outlook = starts_.outlook();
    message.set_unread_ms(
        static_cast<std::uint32_t>(outlook.unread(reactor_->now()).count()));
    message.set_tokens_read_per_ms(outlook.tokens_read_per_ms());
    message.set_memory_used(outlook.place().memory_taken);
    message.set_memory_total(load.memory_total);
    message.set_leaving(load.leaving);
    if (load.leaves_in_ms)
        message.set_leaves_in_ms(*load.leaves_in_ms);
}

void engine_monitor::write_load_now(v1::MonitorNotice& notice) const
{
    if (last_load_)
        write_load(*last_load_, *notice.mutable_load_now());
}

std::string engine_monitor::load_notice(const engine_load& load) const
{
    v1::MonitorNotice message;
    message.set_gateways(static_cast<std::uint32_t>(gateways_.size()));
    write_identity(message);
    write_load(load, *message.mutable_load());
    return message.SerializeAsString();
}

void engine_monitor::tell(const engine_load& load)
{
    auto bytes = load_notice(load);
    const auto now = reactor_->now();
    const bool same = bytes == last_told_ && now < tell_again_at_;
    const bool too_soon = now < tell_next_at_ && load.leaving == told_leaving_;
    if (same || too_soon)
        return;
    tell_next_at_ = now + tell_spacing(listeners());
    told_leaving_ = load.leaving;
    for (const auto& [name, gateway] : gateways_) {
        if (gateway.loads_until > now)
            socket_->send(gateway.address, bytes);
    }
    last_told_ = std::move(bytes);
    tell_again_at_ = now + tell_interval;
}

void engine_monitor::forget_silent()
{
    const auto now = reactor_->now();
    std::erase_if(gateways_, [&](const auto& entry) {
        return entry.second.forget_at <= now;
    });
}

} // namespace cyclamenrun

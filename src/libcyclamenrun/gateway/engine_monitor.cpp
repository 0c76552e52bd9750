#include "engine_monitor.hpp"

#include "cold_limits.hpp"
#include "gateway_count_message.hpp"
#include "load.pb.h"
#include "log_event.hpp"
#include "message_reader.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

namespace
{

/**
 * Gateways renew their subscription each second; a gateway is removed after
 * three missed renewals.
 */
constexpr milliseconds gateway_lifetime{3500};
constexpr milliseconds engine_timeout{500};
/**
 * Longer than `engine_timeout`: an engine answers the identity query only when
 * it has a free slot.
 */
constexpr milliseconds identity_timeout{2000};
constexpr milliseconds identity_retry_interval{300};

engine_status status_of(const engine_load& load)
{
    engine_status status;
    status.running = load.running;
    status.starting = load.starting;
    status.queued = load.queued;
    status.next_prompt_tokens = load.next_prompt_tokens;
    status.memory_used = load.memory_used;
    status.memory_total = load.memory_total;
    status.generations = load.generations;
    return status;
}

} // namespace

engine_monitor::engine_monitor(const std::shared_ptr<link_reactor>& reactor,
                               std::shared_ptr<const gateway_dialect> dialect,
                               const engine_monitor_settings& settings,
                               exported_metrics& metrics)
    : reactor_(reactor), dialect_(std::move(dialect)), settings_(settings),
      socket_(std::make_shared<datagram_socket>(
          reactor, settings.listen,
          [this](const ip_endpoint& from, std::string_view bytes) {
              handle_request(from, bytes);
          })),
      load_client_(std::make_shared<http_client>(reactor, settings.engine,
                                                 engine_call_limits)),
      identity_client_(std::make_shared<http_client>(reactor, settings.engine,
                                                     engine_call_limits)),
      starts_([reactor] { return reactor->awake_now(); }), metrics_(metrics)
{
}

void engine_monitor::start()
{
    socket_->start();
    poll_engine();
}

void engine_monitor::handle_request(const ip_endpoint& from,
                                    std::string_view bytes)
{
    const auto read = parse_message<v1::MonitorRequest>(bytes);
    if (!read)
        return;
    const auto& request = *read;
    const auto key = to_string(from);
    auto* const gateway = find_or_add_gateway(from, key);
    if (!request.health_target().empty()) {
        health_target_ = request.health_target();
        query_identity();
    }
    if (request.has_relayed_events())
        starts_.record_events(
            request.relayed_events().events(),
            milliseconds(request.relayed_events().total_ms()));
    const bool knows_less = learn_gateway_counts(request);
    if (request.loads_wanted() && gateway != nullptr)
        handle_subscription(*gateway, knows_less);
    if (!request.turn_ended().empty()) {
        turns_.end(request.turn_ended());
        grant_next_turn();
    }
    if (!request.start_ended().empty()) {
        starts_.end(request.start_ended());
        grant_starts();
    }
    if (request.has_start_wanted())
        handle_start_request(from, key, request.start_wanted());
    if (!request.turn_wanted().empty())
        handle_turn_request(from, key, request);
}

engine_monitor::known_gateway*
engine_monitor::find_or_add_gateway(const ip_endpoint& from,
                                    const std::string& key)
{
    if (gateways_.size() >= max_gateways && !gateways_.contains(key))
        return nullptr;
    auto& gateway = gateways_[key];
    gateway.address = from;
    gateway.expires_at = reactor_->awake_now() + gateway_lifetime;
    return &gateway;
}

bool engine_monitor::learn_gateway_counts(const v1::MonitorRequest& request)
{
    const auto now = boot_now();
    gateway_count_history senders;
    read_gateway_counts(request, [&](const past_gateway_count& told) {
        gateway_counts_.learn(told, now);
        senders.learn(told, now);
    });
    const auto known = gateway_counts_.counts(now);
    return std::any_of(known.begin(), known.end(), [&](const auto& each) {
        return senders.learn(each, now);
    });
}

void engine_monitor::handle_subscription(known_gateway& gateway,
                                         bool knows_less)
{
    const auto now = reactor_->awake_now();
    const bool is_new = gateway.subscribed_until <= now;
    gateway.subscribed_until = now + gateway_lifetime;
    if (!is_new && !knows_less)
        return;
    // Sent even without a load: the notice shows that this monitor responds, so
    // the gateway can read the directory through it, whatever the state of the
    // engine.
    v1::MonitorNotice notice;
    if (last_load_)
        notice = load_notice(*last_load_);
    notice.set_gateways(static_cast<std::uint32_t>(gateways_.size()));
    if (knows_less)
        write_gateway_counts(gateway_counts_.counts(boot_now()), notice);
    socket_->send(gateway.address, notice.SerializeAsString());
}

std::size_t engine_monitor::count_subscribers() const
{
    const auto now = reactor_->awake_now();
    return std::count_if(
        gateways_.begin(), gateways_.end(),
        [&](const auto& entry) { return entry.second.subscribed_until > now; });
}

void engine_monitor::handle_turn_request(const ip_endpoint& from,
                                         const std::string& gateway,
                                         const v1::MonitorRequest& request)
{
    const auto& id = request.turn_wanted();
    const auto tokens = request.turn_tokens();
    v1::MonitorNotice notice;
    if (request.turn_into() && !starts_.has_room_for_copy(tokens)) {
        turns_.end(id);
        notice.set_turn_refused(id);
    } else if (turns_.request_turn({id, gateway, tokens},
                                   reactor_->awake_now())) {
        metrics_.count(exported_metric::copy_turns);
        notice.set_turn_given(id);
    } else {
        notice.set_turn_waits(id);
    }
    write_identity(notice);
    write_current_load(notice);
    socket_->send(from, notice.SerializeAsString());
}

void engine_monitor::grant_next_turn()
{
    const auto holder = turns_.holder(reactor_->awake_now());
    if (!holder)
        return;
    const auto found = gateways_.find(holder->gateway);
    if (found == gateways_.end())
        return;
    v1::MonitorNotice notice;
    metrics_.count(exported_metric::copy_turns);
    notice.set_turn_given(holder->id);
    socket_->send(found->second.address, notice.SerializeAsString());
}

void engine_monitor::handle_start_request(const ip_endpoint& from,
                                          const std::string& gateway,
                                          const v1::StartWanted& wanted)
{
    const auto now = reactor_->now();
    start_request request;
    request.id = wanted.id();
    request.gateway = gateway;
    request.team = wanted.team();
    request.prompt_tokens = wanted.prompt_tokens();
    request.output_tokens = wanted.output_tokens();
    request.first_due = now + milliseconds(wanted.first_due_ms());
    request.gap_target = milliseconds(wanted.gap_target_ms());
    // The request was repeated after its grant: the datagram with the grant was
    // lost.
    if (starts_.is_granted(request.id)) {
        send_start_grant(request);
        return;
    }
    starts_.set_slots(wanted.slots());
    if (!starts_.leaving()) {
        starts_.request_start(request, now);
        grant_starts();
        if (starts_.is_granted(request.id))
            return;
    }
    v1::MonitorNotice notice;
    notice.mutable_start_waits()->set_id(wanted.id());
    notice.mutable_start_waits()->set_refused(starts_.leaving());
    notice.mutable_start_waits()->set_passed_over(
        starts_.is_passed_over(request, now));
    write_current_load(notice);
    socket_->send(from, notice.SerializeAsString());
}

void engine_monitor::send_start_grant(const start_request& start)
{
    const auto found = gateways_.find(start.gateway);
    if (found == gateways_.end())
        return;
    v1::MonitorNotice notice;
    write_identity(notice);
    const auto occupancy = starts_.load_estimate().occupancy();
    auto& grant = *notice.mutable_start_given();
    grant.set_id(start.id);
    grant.set_slots_taken(static_cast<std::uint32_t>(occupancy.slots_taken));
    grant.set_memory_taken(occupancy.memory_taken);
    grant.set_late_streams(starts_.streams_made_late(start) +
                           starts_.stream_lateness(start));
    write_current_load(notice);
    socket_->send(found->second.address, notice.SerializeAsString());
}

void engine_monitor::grant_starts()
{
    // Without the engine's id in the grant, the gateway may address the request
    // to the engine's predecessor, and the engine would reject it.
    if (is_identifying())
        return;
    for (const auto& start : starts_.grant_starts(reactor_->now())) {
        metrics_.count(exported_metric::start_grants);
        send_start_grant(start);
    }
    metrics_.set(exported_metric::starts_waiting, {},
                 static_cast<double>(starts_.waiting()));
    metrics_.set(exported_metric::starts_deferred, {},
                 starts_.is_deferring() ? 1 : 0);
    schedule_start_grants();
}

void engine_monitor::schedule_start_grants()
{
    const auto now = reactor_->now();
    const auto next = starts_.next_event(now);
    const bool due_sooner =
        next_grant_check_ > now && next && next_grant_check_ <= *next;
    if (!next || due_sooner)
        return;
    next_grant_check_ = *next;
    reactor_->post_at(*next, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->grant_starts();
    });
}

void engine_monitor::query_identity()
{
    const auto now = reactor_->now();
    if (health_target_.empty() || !engine_id_.empty() || !last_load_ ||
        identity_client_->busy() || now < next_identity_query_)
        return;
    next_identity_query_ = now + identity_retry_interval;
    identity_client_->call(
        dialect_->health_call(health_target_), {}, now + identity_timeout,
        [weak = weak_from_this()](const call_outcome& outcome) {
            if (const auto self = weak.lock())
                self->handle_identity(outcome);
        });
}

void engine_monitor::handle_identity(const call_outcome& outcome)
{
    if (!outcome)
        return;
    obey_rest(*outcome);
    const auto id = dialect_->read_identity(*outcome);
    if (!id)
        return;
    engine_id_ = *id;
    engine_cold_until_.reset();
    if (const auto left = dialect_->read_notice(*outcome).cold_left)
        engine_cold_until_ = cold_deadline(*left, reactor_->now());
    // The next load is published with the id and without delay.
    next_publish_at_ = {};
    last_published_.clear();
    grant_starts();
}

bool engine_monitor::is_identifying() const
{
    return engine_id_.empty() && identity_client_->busy() &&
           reactor_->now() < next_identity_query_;
}

void engine_monitor::write_identity(v1::MonitorNotice& notice) const
{
    if (engine_id_.empty())
        return;
    notice.mutable_engine()->set_address(to_string(settings_.engine));
    notice.mutable_engine()->set_id(engine_id_);
    if (!engine_cold_until_)
        return;
    // Whole seconds, since a load that is unchanged is published less often.
    const auto left = std::chrono::ceil<std::chrono::seconds>(
        time_left(*engine_cold_until_, reactor_->now()));
    notice.mutable_engine()->set_cold_remaining_ms(
        static_cast<std::uint64_t>(milliseconds(left).count()));
}

void engine_monitor::poll_engine()
{
    // The engine has asked for rest since the timer was set.
    if (reactor_->now() < next_poll_) {
        schedule_poll();
        return;
    }
    next_poll_ = reactor_->now() + settings_.interval;
    remove_expired_gateways();
    if (gateways_.empty()) {
        schedule_poll();
        return;
    }
    polled_at_ = reactor_->now();
    load_client_->call(dialect_->load_call(), {},
                       reactor_->now() + engine_timeout,
                       [weak = weak_from_this()](const call_outcome& outcome) {
                           if (const auto self = weak.lock())
                               self->handle_load_reply(outcome);
                       });
}

void engine_monitor::schedule_poll()
{
    reactor_->post_at(next_poll_, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->poll_engine();
    });
}

void engine_monitor::obey_rest(const http_reply& reply)
{
    const auto rest = dialect_->read_notice(reply).rest;
    if (!rest)
        return;
    const auto end = reactor_->now() + *rest;
    next_poll_ = std::max(next_poll_, end);
    next_identity_query_ = std::max(next_identity_query_, end);
}

void engine_monitor::handle_load_reply(const call_outcome& outcome)
{
    if (outcome)
        obey_rest(*outcome);
    const auto load = outcome.and_then(
        [&](const http_reply& reply) { return dialect_->read_load(reply); });
    metrics_.observe(exported_metric::load_time, {},
                     reactor_->now() - polled_at_);
    if (load) {
        record_load_metrics(*load);
        last_load_ = *load;
        starts_.update_status(status_of(*load), load->leaving, reactor_->now());
        record_step_metrics();
        grant_starts();
        publish_load(*load);
        if (load->leaving && on_leaving_)
            std::exchange(on_leaving_, nullptr)();
    } else {
        metrics_.count(exported_metric::load_failures);
        // Another process of the engine may respond next time.
        engine_id_.clear();
        last_load_.reset();
    }
    query_identity();
    if (load.has_value() != std::exchange(engine_reachable_, load.has_value()))
        log_event(log_severity::warning,
                  load ? log_event_name::upstream_recovered
                       : log_event_name::upstream_lost,
                  {{log_key::address, to_string(settings_.engine)}});
    schedule_poll();
}

void engine_monitor::remove_expired_gateways()
{
    const auto now = reactor_->awake_now();
    std::erase_if(gateways_, [&](const auto& entry) {
        return entry.second.expires_at <= now;
    });
}

} // namespace cyclamenrun

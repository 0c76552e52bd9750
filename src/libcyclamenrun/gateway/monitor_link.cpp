#include "monitor_link.hpp"

#include "engine_monitor.hpp"
#include "gateway_count_message.hpp"
#include "load.pb.h"
#include "log_event.hpp"
#include "message_reader.hpp"
#include "number_limits.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

namespace
{

/**
 * Time between two renewals of a load subscription; a monitor removes the
 * gateway after three missed renewals.
 */
constexpr milliseconds subscription_interval{1000};
/** Time between two checks for new hosts and for monitors that timed out. */
constexpr milliseconds host_check_interval{100};
/** A turn request is repeated after this time, in case a datagram was lost. */
constexpr milliseconds turn_retry_interval{50};
/**
 * A monitor that does not answer turn requests for this long is assumed to be
 * down or cut off; the copy then starts without its grant.
 */
constexpr milliseconds turn_response_timeout{160};

/**
 * A monitor sends even an unchanged load every 400 ms, so this is four missed
 * loads in a row.
 */
constexpr milliseconds monitor_timeout{1600};
/**
 * The same bound in publish intervals, for a monitor that has many subscribers
 * and sends its load less often.
 */
constexpr int max_missed_loads = 4;
/**
 * If no monitor responds for this long, either none is running or this VM is
 * cut off from all of them.
 */
constexpr milliseconds all_monitors_timeout{3000};

engine_load load_of(const v1::EngineLoad& message)
{
    engine_load load;
    load.running = message.running();
    load.queued = message.queued();
    load.prefill_backlog = milliseconds(message.unread_ms());
    load.prefill_tokens_per_ms = message.tokens_read_per_ms();
    load.memory_used = message.memory_used();
    load.memory_total = message.memory_total();
    load.leaving = message.leaving();
    if (message.has_leaves_in_ms())
        load.leaves_in_ms = message.leaves_in_ms();
    load.started_ms = message.started_ms();
    return load;
}

} // namespace

monitor_link::monitor_link(std::shared_ptr<link_reactor> reactor,
                           const ip_endpoint& listen,
                           std::uint16_t monitor_port, std::string name,
                           hooks on)
    : reactor_(std::move(reactor)), monitor_port_(monitor_port),
      name_(std::move(name)), on_(std::move(on))
{
    socket_ = std::make_shared<datagram_socket>(
        reactor_, listen,
        [this](const ip_endpoint& from, std::string_view bytes) {
            handle_datagram(from, bytes);
        });
}

void monitor_link::start()
{
    socket_->start();
    last_response_at_ = reactor_->awake_now();
    subscribe_to_loads();
}

void monitor_link::send(const std::string& host,
                        const v1::MonitorRequest& request)
{
    socket_->send({host, monitor_port_}, request.SerializeAsString());
}

void monitor_link::subscribe_to_loads()
{
    const auto now = reactor_->now();
    const auto hosts = on_.hosts();
    const bool renew_all = now >= renew_all_at_;
    if (renew_all)
        renew_all_at_ = now + subscription_interval;
    v1::MonitorRequest request;
    request.set_gateway(name_);
    request.set_health_target(on_.health_target());
    request.set_loads_wanted(true);
    if (on_.gateway_counts.counts)
        write_gateway_counts(on_.gateway_counts.counts(), request);
    std::erase_if(monitors_, [&](const auto& entry) {
        return !hosts.contains(entry.first);
    });
    for (const auto& host : hosts) {
        const auto [monitor, is_new] =
            monitors_.try_emplace(host, monitor_state{reactor_->awake_now()});
        if (renew_all || is_new)
            renew_subscription(host, monitor->second, request);
        check_monitor_timeout(host, monitor->second);
    }
    reactor_->post_at(now + host_check_interval, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->subscribe_to_loads();
    });
}

void monitor_link::renew_subscription(const std::string& host,
                                      monitor_state& monitor,
                                      v1::MonitorRequest& request)
{
    request.clear_relayed_events();
    if (monitor.relayed_events > 0) {
        auto& relayed = *request.mutable_relayed_events();
        relayed.set_events(static_cast<std::uint32_t>(
            std::min(monitor.relayed_events, number_limits::count)));
        relayed.set_total_ms(static_cast<std::uint32_t>(std::min<std::int64_t>(
            monitor.relayed_time.count(), number_limits::count)));
    }
    monitor.relayed_events = 0;
    monitor.relayed_time = milliseconds(0);
    send(host, request);
}

void monitor_link::record_events(const std::string& host, std::uint64_t events,
                                 milliseconds time)
{
    const auto found = monitors_.find(host);
    if (found == monitors_.end())
        return;
    found->second.relayed_events += events;
    found->second.relayed_time += time;
}

void monitor_link::check_monitor_timeout(const std::string& host,
                                         monitor_state& monitor)
{
    const auto timeout =
        std::max(monitor_timeout,
                 max_missed_loads * load_publish_interval(monitor.gateways));
    if (monitor.timed_out ||
        reactor_->awake_now() - monitor.last_response_at < timeout)
        return;
    monitor.timed_out = true;
    // A host that never responded may have no monitor.
    if (monitor.has_responded)
        log_event(log_severity::warning, log_event_name::monitor_lost,
                  {{log_key::address, host}});
}

void monitor_link::record_response(const std::string& host)
{
    last_response_at_ = reactor_->awake_now();
    const auto found = monitors_.find(host);
    if (found == monitors_.end())
        return;
    const auto outage = std::chrono::duration_cast<milliseconds>(
        reactor_->awake_now() - found->second.last_response_at);
    found->second.last_response_at = reactor_->awake_now();
    const bool had_responded = std::exchange(found->second.has_responded, true);
    if (std::exchange(found->second.timed_out, false) && had_responded)
        log_event(log_severity::info, log_event_name::monitor_regained,
                  {{log_key::address, host}, {log_key::duration_ms, outage}});
}

void monitor_link::request_turn(const copy_request& copy, turn_hooks on)
{
    turns_[copy.id] = {copy, std::move(on), reactor_->awake_now()};
    send_turn_request(copy.id);
}

void monitor_link::send_turn_request(const std::string& id)
{
    const auto found = turns_.find(id);
    if (found == turns_.end() || !found->second.on.granted)
        return;
    if (reactor_->awake_now() - found->second.last_response_at >=
        turn_response_timeout) {
        grant_turn(id);
        return;
    }
    v1::MonitorRequest request;
    request.set_gateway(name_);
    request.set_turn_wanted(id);
    request.set_turn_tokens(found->second.copy.tokens);
    request.set_turn_into(found->second.copy.into);
    send(found->second.copy.host, request);
    reactor_->post_at(reactor_->now() + turn_retry_interval,
                      [weak = weak_from_this(), id] {
                          if (const auto self = weak.lock())
                              self->send_turn_request(id);
                      });
}

void monitor_link::grant_turn(const std::string& id)
{
    const auto found = turns_.find(id);
    if (found == turns_.end())
        return;
    const auto on = std::exchange(found->second.on, {});
    if (on.granted)
        on.granted();
}

void monitor_link::refuse_turn(const std::string& id)
{
    const auto found = turns_.find(id);
    if (found == turns_.end() || !found->second.on.refused)
        return;
    const auto refused = found->second.on.refused;
    turns_.erase(found);
    refused();
}

void monitor_link::end_turn(const std::string& id)
{
    const auto found = turns_.find(id);
    if (found == turns_.end())
        return;
    v1::MonitorRequest request;
    request.set_gateway(name_);
    request.set_turn_ended(id);
    send(found->second.copy.host, request);
    turns_.erase(found);
}

void monitor_link::watch_start(const std::string& id, start_hooks on)
{
    starts_[id] = std::move(on);
}

void monitor_link::request_start(const std::string& host,
                                 const start_request& wanted, unsigned slots)
{
    const auto time_left = std::chrono::duration_cast<milliseconds>(
        wanted.first_due - reactor_->now());
    v1::MonitorRequest request;
    request.set_gateway(name_);
    request.set_health_target(on_.health_target());
    auto& start = *request.mutable_start_wanted();
    start.set_id(wanted.id);
    start.set_team(wanted.team);
    start.set_prompt_tokens(wanted.prompt_tokens);
    start.set_output_tokens(wanted.output_tokens);
    start.set_first_due_ms(time_left.count());
    start.set_slots(slots);
    start.set_gap_target_ms(static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        wanted.gap_target.count(), 0, number_limits::count)));
    send(host, request);
}

void monitor_link::end_start(const std::string& host, const std::string& id)
{
    v1::MonitorRequest request;
    request.set_gateway(name_);
    request.set_start_ended(id);
    send(host, request);
}

bool monitor_link::is_responding(const std::string& host) const
{
    const auto found = monitors_.find(host);
    return found != monitors_.end() && found->second.has_responded &&
           !found->second.timed_out;
}

bool monitor_link::has_timed_out(const std::string& host) const
{
    const auto found = monitors_.find(host);
    return found != monitors_.end() && found->second.timed_out;
}

bool monitor_link::no_monitor_responds() const
{
    return reactor_->awake_now() - last_response_at_ > all_monitors_timeout;
}

void monitor_link::handle_start_grant(const std::string& host,
                                      const v1::StartGiven& notice)
{
    const auto found = starts_.find(notice.id());
    // The generation started elsewhere, and the withdrawal of this request is
    // in flight or lost.
    if (found == starts_.end()) {
        end_start(host, notice.id());
        return;
    }
    // Copied because the hook may call unwatch_start().
    const auto granted = found->second.granted;
    granted(host, {notice.slots_taken(), notice.memory_taken(),
                   notice.late_streams()});
}

void monitor_link::handle_start_wait(const std::string& host,
                                     const v1::StartWaits& notice)
{
    const auto found = starts_.find(notice.id());
    if (found == starts_.end())
        return;
    auto denial = start_denial::no_room;
    if (notice.passed_over())
        denial = start_denial::passed_over;
    if (notice.refused())
        denial = start_denial::refused;
    // Copied because the hook may call unwatch_start().
    const auto waits = found->second.waits;
    waits(host, denial);
}

void monitor_link::handle_identity(const std::string& host,
                                   const v1::EngineIdentity& engine)
{
    const auto address = parse_ip_endpoint(engine.address());
    // A monitor reports only the engine of its own VM.
    if (!address || address->host != host || engine.id().empty())
        return;
    on_.identity(*address, engine.id());
    if (engine.has_cold_remaining_ms() && on_.cold)
        on_.cold(*address, engine.id(),
                 milliseconds(engine.cold_remaining_ms()));
}

void monitor_link::handle_datagram(const ip_endpoint& from,
                                   std::string_view bytes)
{
    const auto read = parse_message<v1::MonitorNotice>(bytes);
    if (!read)
        return;
    const auto& notice = *read;
    record_response(from.host);
    update_gateway_count(from.host, notice.gateways());
    if (on_.gateway_counts.learn)
        read_gateway_counts(notice, on_.gateway_counts.learn);
    if (notice.has_engine())
        handle_identity(from.host, notice.engine());
    if (notice.has_load_now())
        handle_load(notice.load_now());
    if (notice.has_turn_given())
        grant_turn(notice.turn_given());
    if (notice.has_turn_refused())
        refuse_turn(notice.turn_refused());
    if (notice.has_turn_waits()) {
        const auto found = turns_.find(notice.turn_waits());
        if (found != turns_.end())
            found->second.last_response_at = reactor_->awake_now();
    }
    if (notice.has_start_given())
        handle_start_grant(from.host, notice.start_given());
    if (notice.has_start_waits())
        handle_start_wait(from.host, notice.start_waits());
    if (notice.has_load())
        handle_load(notice.load());
}

void monitor_link::update_gateway_count(const std::string& host, unsigned count)
{
    const auto found = monitors_.find(host);
    if (found == monitors_.end() || count == 0)
        return;
    found->second.gateways = count;
    // A monitor knows only the gateways that subscribe to it, so the largest
    // count is the closest to the total.
    unsigned largest = 0;
    for (const auto& [name, monitor] : monitors_) {
        if (!monitor.timed_out)
            largest = std::max(largest, monitor.gateways);
    }
    on_.gateways(largest);
}

void monitor_link::handle_load(const v1::EngineLoad& message)
{
    const auto engine = parse_ip_endpoint(message.engine_address());
    if (!engine)
        return;
    on_.load(*engine, load_of(message));
}

} // namespace cyclamenrun

#include "monitor_link.hpp"

#include "engine_monitor.hpp"
#include "load.pb.h"
#include "log_event.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

namespace
{

/** Time between two questions; a monitor forgets after three of them. */
constexpr milliseconds ask_interval{1000};
/** A host that has just appeared is asked this soon. */
constexpr milliseconds look_interval{100};
/** A turn is asked for again, in case a datagram was lost. */
constexpr milliseconds turn_interval{50};
/** A monitor that says nothing for so long is down or cut off. */
constexpr milliseconds monitor_silence{160};

/** It tells even a load that has not changed 400 ms after the last, so that
 * four in a row have gone missing by then. */
constexpr milliseconds monitor_away{1600};
/** The same for a monitor that tells many gateways, and each less often. */
constexpr int most_missed = 4;
/** Nothing of any monitor for so long: there are none, or this VM is cut off
 * from all. */
constexpr milliseconds all_away{3000};

engine_load load_of(const v1::EngineLoad& message)
{
    engine_load load;
    load.running = message.running();
    load.queued = message.queued();
    load.unread = milliseconds(message.unread_ms());
    load.tokens_read_per_ms = message.tokens_read_per_ms();
    load.memory_used = message.memory_used();
    load.memory_total = message.memory_total();
    load.leaving = message.leaving();
    if (message.has_leaves_in_ms())
        load.leaves_in_ms = message.leaves_in_ms();
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
            take(from, bytes);
        });
}

void monitor_link::start()
{
    socket_->start();
    heard_at_ = reactor_->now();
    ask_for_loads();
}

void monitor_link::send(const std::string& host,
                        const v1::MonitorRequest& request)
{
    socket_->send({host, monitor_port_}, request.SerializeAsString());
}

void monitor_link::ask_for_loads()
{
    const auto now = reactor_->now();
    const auto hosts = on_.hosts();
    const bool all = now >= ask_all_at_;
    if (all)
        ask_all_at_ = now + ask_interval;
    v1::MonitorRequest request;
    request.set_gateway(name_);
    request.set_health_target(on_.health_target());
    request.set_loads_wanted(true);
    std::erase_if(asked_, [&](const auto& asked) {
        return !hosts.contains(asked.first);
    });
    for (const auto& host : hosts) {
        const auto [asked, is_new] = asked_.try_emplace(host, asked_host{now});
        if (all || is_new)
            send(host, request);
        note_silent(host, asked->second);
    }
    reactor_->post_at(now + look_interval, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->ask_for_loads();
    });
}

void monitor_link::note_silent(const std::string& host, asked_host& asked)
{
    const auto away =
        std::max(monitor_away, most_missed * tell_spacing(asked.gateways));
    if (asked.lost || reactor_->now() - asked.heard_at < away)
        return;
    asked.lost = true;
    // One that was never heard is no news.
    if (asked.heard)
        log_event(log_severity::warning, log_event_name::monitor_lost,
                  {{log_key::address, host}});
}

void monitor_link::note_heard(const std::string& host)
{
    heard_at_ = reactor_->now();
    const auto found = asked_.find(host);
    if (found == asked_.end())
        return;
    const auto away = std::chrono::duration_cast<milliseconds>(
        reactor_->now() - found->second.heard_at);
    found->second.heard_at = reactor_->now();
    const bool known = std::exchange(found->second.heard, true);
    if (std::exchange(found->second.lost, false) && known)
        log_event(log_severity::info, log_event_name::monitor_regained,
                  {{log_key::address, host}, {log_key::duration_ms, away}});
}

void monitor_link::want_turn(const wanted_copy& copy, turn_hooks on)
{
    turns_[copy.id] = {copy, std::move(on), reactor_->now()};
    ask_for_turn(copy.id);
}

void monitor_link::ask_for_turn(const std::string& id)
{
    const auto found = turns_.find(id);
    if (found == turns_.end() || !found->second.on.given)
        return;
    if (reactor_->now() - found->second.heard_at >= monitor_silence) {
        give(id);
        return;
    }
    v1::MonitorRequest request;
    request.set_gateway(name_);
    request.set_turn_wanted(id);
    request.set_turn_tokens(found->second.copy.tokens);
    request.set_turn_into(found->second.copy.into);
    send(found->second.copy.host, request);
    reactor_->post_at(reactor_->now() + turn_interval,
                      [weak = weak_from_this(), id] {
                          if (const auto self = weak.lock())
                              self->ask_for_turn(id);
                      });
}

void monitor_link::give(const std::string& id)
{
    const auto found = turns_.find(id);
    if (found == turns_.end())
        return;
    const auto on = std::exchange(found->second.on, {});
    if (on.given)
        on.given();
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

void monitor_link::hear_of_start(const std::string& id, start_hooks on)
{
    starts_[id] = std::move(on);
}

void monitor_link::ask_start(const std::string& host,
                             const start_request& wanted, unsigned slots)
{
    const auto left = std::chrono::duration_cast<milliseconds>(
        wanted.first_due - reactor_->now());
    v1::MonitorRequest request;
    request.set_gateway(name_);
    request.set_health_target(on_.health_target());
    auto& start = *request.mutable_start_wanted();
    start.set_id(wanted.id);
    start.set_team(wanted.team);
    start.set_prompt_tokens(wanted.prompt_tokens);
    start.set_output_tokens(wanted.output_tokens);
    start.set_first_due_ms(left.count());
    start.set_slots(slots);
    send(host, request);
}

void monitor_link::end_start(const std::string& host, const std::string& id)
{
    v1::MonitorRequest request;
    request.set_gateway(name_);
    request.set_start_ended(id);
    send(host, request);
}

bool monitor_link::hears(const std::string& host) const
{
    const auto found = asked_.find(host);
    return found != asked_.end() && found->second.heard && !found->second.lost;
}

bool monitor_link::misses(const std::string& host) const
{
    const auto found = asked_.find(host);
    return found != asked_.end() && found->second.lost;
}

bool monitor_link::silent() const
{
    return reactor_->now() - heard_at_ > all_away;
}

void monitor_link::take_start_given(const std::string& host,
                                    const v1::StartGiven& notice)
{
    const auto found = starts_.find(notice.id());
    // It started elsewhere, and the word of that is on its way or lost.
    if (found == starts_.end()) {
        end_start(host, notice.id());
        return;
    }
    // A copy: the call may forget the start.
    const auto given = found->second.given;
    given(host, {notice.slots_taken(), notice.memory_taken()});
}

void monitor_link::take_start_waits(const std::string& host,
                                    const v1::StartWaits& notice)
{
    const auto found = starts_.find(notice.id());
    if (found == starts_.end())
        return;
    auto wait = start_wait::for_room;
    if (notice.passed_over())
        wait = start_wait::passed_over;
    if (notice.refused())
        wait = start_wait::refused;
    const auto waits = found->second.waits;
    waits(host, wait);
}

void monitor_link::take_identity(const std::string& host,
                                 const v1::EngineIdentity& engine)
{
    const auto address = parse_ip_endpoint(engine.address());
    // A monitor speaks for the engine of its own VM only.
    if (address && address->host == host && !engine.id().empty())
        on_.identity(*address, engine.id());
}

void monitor_link::take(const ip_endpoint& from, std::string_view bytes)
{
    note_heard(from.host);
    v1::MonitorNotice notice;
    if (!notice.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return;
    note_gateways(from.host, notice.gateways());
    if (notice.has_engine())
        take_identity(from.host, notice.engine());
    if (notice.has_load_now())
        take_load(notice.load_now());
    if (notice.has_turn_given())
        give(notice.turn_given());
    if (notice.has_turn_refused())
        refuse_turn(notice.turn_refused());
    if (notice.has_turn_waits()) {
        const auto found = turns_.find(notice.turn_waits());
        if (found != turns_.end())
            found->second.heard_at = reactor_->now();
    }
    if (notice.has_start_given())
        take_start_given(from.host, notice.start_given());
    if (notice.has_start_waits())
        take_start_waits(from.host, notice.start_waits());
    if (notice.has_load())
        take_load(notice.load());
}

void monitor_link::note_gateways(const std::string& host, unsigned count)
{
    const auto found = asked_.find(host);
    if (found == asked_.end() || count == 0)
        return;
    found->second.gateways = count;
    // Those that all gateways ask hear of most.
    unsigned most = 0;
    for (const auto& [name, asked] : asked_) {
        if (!asked.lost)
            most = std::max(most, asked.gateways);
    }
    on_.gateways(most);
}

void monitor_link::take_load(const v1::EngineLoad& message)
{
    const auto engine = parse_ip_endpoint(message.engine_address());
    if (!engine)
        return;
    on_.load(*engine, load_of(message));
}

} // namespace cyclamenrun

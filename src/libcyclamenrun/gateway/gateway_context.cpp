#include "gateway_context.hpp"

#include "exchange.hpp"
#include "log_event.hpp"
#include "peers.pb.h"
#include "request_fingerprint.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

namespace
{

/** Versions of upstreams are remembered by the second. */
constexpr milliseconds version_record_interval{1000};
/** How long a process may take to name its start. */
constexpr milliseconds confirmation_timeout{300};
/** The read in progress ends first, and the next one follows its pause. */
constexpr milliseconds directory_view_timeout{1500};

} // namespace

gateway_context::gateway_context(
    std::shared_ptr<link_reactor> shared_reactor,
    std::shared_ptr<const gateway_dialect> wire_dialect,
    upstream_registry::hooks upstream_hooks,
    const retry_budget_settings& retries,
    std::optional<milliseconds> lease_term, std::uint64_t seed)
    : reactor(std::move(shared_reactor)), dialect(std::move(wire_dialect)),
      connections(reactor), engine_client_pool(reactor),
      upstreams(std::move(upstream_hooks)), budget(retries, boot_now()),
      lease(lease_term), random(seed), limits(random), loans(budget, random),
      choice(upstreams, limits, notices, evacuated, versions, random),
      poison(random)
{
    poison_guard::hooks on;
    on.changed = [this] { push_changes_later(); };
    on.convicted = [this](suspect_kind kind, std::uint64_t fingerprint) {
        log_event(log_severity::warning, log_event_name::poison_convicted,
                  {{log_key::kind, rule_of(kind).name},
                   {log_key::fingerprint, fingerprint_text(fingerprint)}});
        end_poison_requests();
    };
    on.recorded = [this](const std::vector<mark_key>& changed) {
        if (kept_marks)
            kept_marks->record_change(changed);
    };
    poison.set_hooks(std::move(on));
    crashes = std::make_shared<crash_detector>(
        reactor,
        [this](const upstream_record& upstream, const lost_request& lost) {
            handle_crash(upstream, lost);
        });
    prepare_identity_checks();
}

void gateway_context::keep_marks(std::shared_ptr<mark_log> log)
{
    mark_keeper::hooks on;
    on.gateways = [this] { return limits.gateway_count(); };
    on.written = [this](bool acknowledged) {
        metrics.count(exported_metric::mark_writes,
                      {acknowledged ? "kept" : "failed"});
    };
    on.read = [this](std::size_t readable, std::size_t unreadable) {
        log_event(log_severity::info, log_event_name::marks_read,
                  {{log_key::count, readable}});
        if (unreadable > 0)
            metrics.count(exported_metric::unreadable_records, {"marks"},
                          static_cast<double>(unreadable));
    };
    kept_marks = std::make_shared<mark_keeper>(reactor, std::move(log), poison,
                                               random, std::move(on));
    kept_marks->start();
}

void gateway_context::prepare_identity_checks()
{
    identity_checks::hooks on;
    on.targets = [this](const ip_endpoint& address) {
        std::set<std::string> targets;
        for (const auto* each : upstreams.claimants(address)) {
            const auto* service =
                routes ? routes->service(each->record.service) : nullptr;
            if (service != nullptr && !service->health_target.empty())
                targets.insert(service->health_target);
        }
        return std::vector<std::string>(targets.begin(), targets.end());
    };
    on.may_ask = [this](const ip_endpoint& address) {
        const auto claimants = upstreams.claimants(address);
        return std::none_of(
            claimants.begin(), claimants.end(), [&](const auto* each) {
                return choice.is_evacuated(each->record) ||
                       notices.is_resting(each->record.id, reactor->now());
            });
    };
    on.is_contested = [this](const ip_endpoint& address) {
        return upstreams.is_contested(address);
    };
    on.identified = [this](const ip_endpoint& address, const std::string& id) {
        upstreams.update_identity(address, id, reactor->awake_now());
    };
    on.unverified = [this](const ip_endpoint& address) {
        upstreams.record_unverified(address);
    };
    identities =
        std::make_shared<identity_checks>(reactor, dialect, std::move(on));
}

void gateway_context::use_routes(std::shared_ptr<const gateway_routes> newer)
{
    routes = std::move(newer);
    update_cold_rates();
    upstreams.update_services();
}

void gateway_context::record_limit(const upstream_record& upstream,
                                   std::optional<double> limit)
{
    const auto version = limits.version();
    if (limits.record_answer(upstream.id, limit, reactor->now()))
        log_limit(upstream.id, limit, "answer");
    if (limits.version() != version && peers)
        peers->push_changes();
}

void gateway_context::log_limit(const std::string& upstream_id,
                                std::optional<double> limit,
                                std::string_view source) const
{
    const auto* state = upstreams.find(upstream_id);
    log_event(log_severity::warning,
              limit ? log_event_name::upstream_limited
                    : log_event_name::upstream_limit_lifted,
              {{log_key::upstream, upstream_id},
               {log_key::service,
                state != nullptr ? state->record.service : std::string()},
               {log_key::limit, limit.value_or(-1)},
               {log_key::count, limits.gateway_count()},
               {log_key::kind, source}});
}

void gateway_context::record_notice(const std::string& upstream_id,
                                    const upstream_notice& notice)
{
    if (notice.cold_left)
        record_cold_answer(upstream_id, *notice.cold_left);
    const auto changed = notices.record(upstream_id, notice, reactor->now());
    if (changed.rest_extended)
        log_event(log_severity::warning, log_event_name::upstream_resting,
                  {{log_key::upstream, upstream_id},
                   {log_key::duration_ms, *notice.rest}});
    if (!changed.leaving_began)
        return;
    log_event(log_severity::info, log_event_name::upstream_said_leaving,
              {{log_key::upstream, upstream_id}});
    upstreams.record_leaving(upstream_id);
}

void gateway_context::update_gateway_count()
{
    // Monitors may know gateways that have not found each other.
    std::size_t count = peers ? peers->gateway_count() : 0;
    if (monitors || !peers)
        count = std::max<std::size_t>(count, monitored_gateways);
    limits.set_gateway_count(count);
    const auto now = boot_now();
    gateway_counts.record(static_cast<unsigned>(count), now);
    budget.set_gateway_count(gateway_counts.largest(now), now);
    update_cold_senders();
}

void gateway_context::update_cold_senders()
{
    if (!limits.cold().enabled())
        return;
    constexpr milliseconds longest_pause{1000};
    const auto boot = boot_now();
    known_gateways known;
    known.remembered = gateway_counts.largest(boot);
    // The clock of the reactor stands still while the VM is suspended.
    known.resumed = boot - cold_senders_updated_at > longest_pause;
    cold_senders_updated_at = boot;
    if (peers) {
        // A listener on all addresses learns its own from the first peer.
        if (peers->own_host() != "0.0.0.0")
            known.own = peers->own_host();
        known.others = peers->known_hosts();
    }
    limits.cold().set_gateways(known, reactor->now());
}

gateway_count_hooks gateway_context::count_hooks()
{
    gateway_count_hooks on;
    on.counts = [this] { return gateway_counts.counts(boot_now()); };
    on.learn = [this](const past_gateway_count& told) {
        gateway_counts.learn(told, boot_now());
    };
    return on;
}

void gateway_context::request_loans()
{
    if (!peers)
        return;
    if (const auto wanted = loans.request(boot_now()))
        peers->send_to_some(*wanted);
}

std::optional<v1::PeerMessage>
gateway_context::handle_direct(const std::string& host,
                               const v1::PeerMessage& message)
{
    if (message.origins_size() > 0)
        return origins.handle(host, message, reactor->now());
    return loans.handle(host, message, boot_now());
}

void gateway_context::share_origins(std::vector<std::string> seeds)
{
    stream_origins::hooks on;
    on.own_host = [this] { return peers->own_host(); };
    on.hosts = [this, seeds = std::move(seeds)] {
        auto hosts = peers->known_hosts();
        for (const auto& seed : seeds)
            if (seed != peers->own_host() &&
                std::find(hosts.begin(), hosts.end(), seed) == hosts.end())
                hosts.push_back(seed);
        return hosts;
    };
    on.send = [this](const std::string& host, v1::PeerMessage message) {
        peers->send(host, std::move(message));
    };
    on.post_after = [this](milliseconds time, std::function<void()> call) {
        reactor->post_timeout(reactor->awake_now() + time, std::move(call));
    };
    origins.set_hooks(std::move(on));
}

void gateway_context::record_versions_if_due()
{
    const auto now = reactor->now();
    if (now < next_version_record)
        return;
    next_version_record = now + version_record_interval;
    record_versions();
}

void gateway_context::confirm_directory_view(directory_view::handler on_known)
{
    const auto wait = view.wait_for(boot_now(), std::move(on_known));
    reactor->post_timeout(reactor->awake_now() + directory_view_timeout,
                          [this, wait] { view.give_up(wait); });
}

void gateway_context::record_versions()
{
    const auto now = reactor->now();
    upstreams.for_each([&](const upstream_record& record) {
        versions.record(record.service, record.version, now);
    });
}

std::string gateway_context::version_of(const upstream_record& upstream) const
{
    if (upstreams.standing(upstream, reactor->now()) == process_standing::ended)
        return {};
    if (!upstream.version.empty())
        return upstream.version;
    // The directory may have listed it since.
    const auto* state = upstreams.find(upstream.id);
    return state != nullptr && state->record.address == upstream.address
               ? state->record.version
               : std::string();
}

bool gateway_context::should_confirm(const upstream_record& upstream) const
{
    const auto* state = upstreams.find(upstream.id);
    if (state == nullptr || !state->load)
        return false;
    const auto standing = upstreams.standing(upstream, reactor->now());
    return standing == process_standing::presumed ||
           standing == process_standing::doubted;
}

void gateway_context::confirm_process(const upstream_record& upstream,
                                      std::function<void()> on_known)
{
    const auto asked_at = reactor->now();
    engine_client_pool.idle_client(upstream)->call(
        dialect->load_call(), {}, asked_at + confirmation_timeout,
        [this, upstream, asked_at,
         on_known = std::move(on_known)](const call_outcome& outcome) {
            if (outcome)
                record_notice(upstream.id, dialect->read_notice(*outcome));
            const auto load = outcome.and_then([&](const http_reply& reply) {
                return dialect->read_load(reply);
            });
            if (load)
                upstreams.record_process_start(upstream.id, load->started_ms,
                                               asked_at);
            on_known();
        });
}

std::vector<peer_table> gateway_context::shared_tables()
{
    return {poison.table(),
            make_limits_table(limits, [this](const limit_observation& merged) {
                log_limit(merged.upstream, merged.limit, "gateway");
            })};
}

void gateway_context::push_changes_later()
{
    if (!peers || std::exchange(push_pending, true))
        return;
    reactor->post([this] {
        push_pending = false;
        peers->push_changes();
    });
}

void gateway_context::end_poison_requests()
{
    // Later, since a request may be in the middle of its dispatch.
    reactor->post([this] {
        std::vector<std::shared_ptr<exchange>> requests;
        requests.reserve(running.size());
        for (auto* each : running)
            requests.push_back(each->shared_from_this());
        for (const auto& each : requests)
            each->end_if_poison();
    });
}

void gateway_context::domain_evacuated()
{
    for (auto* each : running)
        each->domain_evacuated();
}

void gateway_context::handle_crash(const upstream_record& upstream,
                                   const lost_request& lost)
{
    log_event(log_severity::warning, log_event_name::upstream_crashed,
              {{log_key::request_id, lost.id},
               {log_key::upstream, upstream.id},
               {log_key::address, to_string(upstream.address)},
               {log_key::fingerprint, fingerprint_text(lost.run.work.request)},
               {log_key::kind, name_of(lost.run.stage)},
               {log_key::prompt_parts, lost.prompt_parts},
               {log_key::recent_parts,
                poison.count_recent_parts(lost.run.work, reactor->now())}});
    metrics.count(exported_metric::crashes_seen, {upstream.service});
    // Its successor may use the same id and is cold; the directory lists it
    // seconds later.
    if (upstreams.find(upstream.id) != nullptr)
        presume_cold(upstream, cold_source::crashed);
    upstreams.record_crash(upstream, reactor->now());
    poison.record_crash(upstream.id, lost.run, reactor->now());
}

void gateway_context::record_crash(const std::string& upstream_id)
{
    const auto now = reactor->now();
    if (!backups.should_back_up(now))
        log_event(log_severity::warning, log_event_name::crash_seen,
                  {{log_key::upstream, upstream_id},
                   {log_key::duration_ms, backup_policy::crash_window}});
    backups.record_crash(now);
}

} // namespace cyclamenrun

#include "gateway_process.hpp"

#include "json_text.hpp"
#include "log_event.hpp"
#include "peers.pb.h"

#include <algorithm>
#include <future>
#include <random>
#include <utility>

namespace cyclamenrun
{

namespace
{

/**
 * The lease ends this long before the configured bound, to cover the network
 * delay to the upstream and a process that is slow between its check of the
 * lease and the send.
 */
constexpr milliseconds lease_margin{400};
/** Interval at which expired leases and records are handled. */
constexpr milliseconds tick_interval{100};
/** Time in which other gateways hear of what this one has learnt. */
constexpr milliseconds peer_news_time{300};

std::optional<milliseconds> lease_term(const gateway_settings& settings)
{
    if (settings.configuration_lease <= milliseconds::zero())
        return std::nullopt;
    // The margin takes at most half of a short lease.
    return std::max(settings.configuration_lease - lease_margin,
                    settings.configuration_lease / 2);
}

retry_budget_settings budget_settings(const gateway_settings& settings)
{
    retry_budget_settings budget;
    budget.share = settings.retry_share;
    budget.extra = settings.retry_extra;
    budget.window = std::chrono::duration_cast<milliseconds>(
        std::chrono::duration<double>(settings.retry_window_s));
    return budget;
}

/** The addresses of seeds without their ports. */
std::vector<std::string> seed_hosts(const std::vector<std::string>& seeds)
{
    std::vector<std::string> hosts;
    for (const auto& seed : seeds) {
        const auto endpoint = parse_ip_endpoint(seed);
        hosts.push_back(endpoint ? endpoint->host : seed);
    }
    return hosts;
}

} // namespace

gateway_process::gateway_process(const gateway_settings& settings,
                                 gateway_platform platform,
                                 settings_reader read_settings)
    : settings_(settings), read_settings_(std::move(read_settings)),
      loop_(std::make_unique<link_loop>())
{
    std::exception_ptr failure;
    on_loop([&] {
        try {
            start(std::move(platform));
        } catch (...) {
            failure = std::current_exception();
        }
    });
    if (!failure)
        return;
    // Ends the loop's thread before the members that it uses are destroyed.
    loop_.reset();
    std::rethrow_exception(failure);
}

gateway_process::~gateway_process()
{
    on_loop([this] {
        ended_ = true;
        directory_->stop();
        relays_.reset();
        context_->crashes->stop();
        for (const auto& each : running_requests())
            each->on_caller_disconnected();
    });
    // Ends the loop's threads before the members that they use are destroyed.
    loop_.reset();
}

void gateway_process::on_loop(const std::function<void()>& work)
{
    // Shared: the waiting thread may resume before set_value() has returned.
    const auto done = std::make_shared<std::promise<void>>();
    loop_->post([&work, done] {
        work();
        done->set_value();
    });
    done->get_future().wait();
}

void gateway_process::start(gateway_platform platform)
{
    const auto& reactor = loop_->reactor();
    reactor->input()->set_limit(input_limit(settings_.memory_mb));
    upstream_registry::hooks upstream_hooks;
    upstream_hooks.leaving = [this](const std::string& id,
                                    std::optional<time_point> leaves_at) {
        upstream_leaving(id, leaves_at);
    };
    upstream_hooks.erased = [this](const std::string& id) {
        context_->limits.cold().forget(id);
        context_->connections.remove(id);
        context_->engine_client_pool.remove(id);
    };
    upstream_hooks.replaced = [this](const std::string& id) {
        context_->notices.forget(id);
        context_->limits.forget(id, context_->reactor->now());
        context_->poison.record_replacement(id);
    };
    upstream_hooks.listed = [this](const upstream_record& record) {
        context_->versions.record(record.service, record.version,
                                  context_->reactor->now());
        context_->record_cold(record);
        context_->poison.record_start(record.id, record.started_ms);
    };
    upstream_hooks.unlisted = [this](const upstream_record& record) {
        context_->presume_cold(record, cold_source::presumed);
    };
    upstream_hooks.is_configured = [this](const std::string& service) {
        return !context_->routes || context_->routes->service(service);
    };
    upstream_hooks.contested = [this](const ip_endpoint& address) {
        context_->identities->check(address);
    };
    upstream_hooks.has_said_leaving = [this](const std::string& id) {
        return context_->notices.is_leaving(id);
    };
    context_ = std::make_unique<gateway_context>(
        reactor, platform.dialect, std::move(upstream_hooks),
        budget_settings(settings_), lease_term(settings_),
        std::random_device{}());
    context_->limits.cold().set_bounds(
        {settings_.cold_overrun, settings_.cold_margin},
        context_->reactor->now());
    context_->failure_domain = settings_.failure_domain;
    context_->log_every_step = settings_.log_every_step;
    directory_ =
        std::make_unique<directory_watch>(*context_, std::move(platform));
    directory_->follow(settings_);
    start_monitor_link();
    start_peer_link();
    start_servers();
    tick();
}

void gateway_process::start_monitor_link()
{
    if (settings_.monitor_port == 0)
        return;
    monitor_link::hooks on;
    on.load = [this](const ip_endpoint& engine, const engine_load& load) {
        context_->upstreams.update_load(engine, load, context_->reactor->now());
    };
    on.identity = [this](const ip_endpoint& engine, const std::string& id) {
        context_->upstreams.update_identity(engine, id,
                                            context_->reactor->awake_now());
    };
    on.cold = [this](const ip_endpoint& engine, const std::string& id,
                     milliseconds left) {
        const auto* state = context_->upstreams.find(id);
        if (state != nullptr && state->record.address == engine)
            context_->record_cold_answer(id, left);
    };
    on.health_target = [this] {
        return context_->routes ? context_->routes->engine_health_target()
                                : std::string();
    };
    on.gateways = [this](unsigned count) {
        context_->monitored_gateways = std::max(1U, count);
    };
    on.gateway_counts = context_->count_hooks();
    on.hosts = [this] { return monitored_hosts(); };
    const auto monitor_port =
        static_cast<std::uint16_t>(settings_.monitor_port);
    context_->monitors = std::make_shared<monitor_link>(
        loop_->reactor(), settings_.loads_listen, monitor_port, settings_.name,
        std::move(on));
    context_->monitors->start();
    start_relays(monitor_port);
}

void gateway_process::start_peer_link()
{
    if (settings_.peers_listen.port == 0)
        return;
    context_->peers = std::make_shared<peer_link>(
        loop_->reactor(), settings_.peers_listen,
        seed_hosts(settings_.peer_seeds), context_->shared_tables(),
        std::random_device{}());
    context_->peers->set_direct_handler(
        [this](const std::string& host, const v1::PeerMessage& message) {
            return context_->handle_direct(host, message);
        });
    context_->peers->set_count_hooks(context_->count_hooks());
    context_->poison.set_news_time(peer_news_time);
    context_->peers->start();
    context_->share_origins(seed_hosts(settings_.peer_seeds));
}

void gateway_process::start_relays(std::uint16_t port)
{
    relay_clients::hooks on;
    on.candidates = [this] { return relay_candidates(); };
    on.responds = [this](const std::string& host) {
        return context_->monitors->is_responding(host);
    };
    on.gateways = [this] { return context_->monitored_gateways; };
    relays_ = std::make_shared<relay_clients>(loop_->reactor(), settings_.name,
                                              port, std::move(on));
    directory_->use_relays(relays_);
}

std::set<std::string> gateway_process::monitored_hosts() const
{
    std::set<std::string> hosts;
    if (!context_->routes || !relays_)
        return hosts;
    for (const auto& name : context_->routes->engine_services())
        hosts.merge(context_->upstreams.hosts_in_use(name));
    for (auto& host : relays_->chosen_hosts())
        hosts.insert(std::move(host));
    hosts.insert(context_->lost_run_hosts.begin(),
                 context_->lost_run_hosts.end());
    return hosts;
}

std::vector<relay_candidate> gateway_process::relay_candidates() const
{
    std::vector<relay_candidate> candidates;
    if (!context_->routes)
        return candidates;
    for (const auto& name : context_->routes->engine_services()) {
        for (const auto* engine : context_->upstreams.available(name)) {
            const auto& host = engine->record.address.host;
            if (!context_->monitors->has_timed_out(host))
                candidates.push_back({host, engine->record.failure_domain});
        }
    }
    return candidates;
}

void gateway_process::start_guard()
{
    guard_ = std::make_shared<connection_guard>(
        loop_->reactor(), connection_limits_of(settings_), context_->metrics,
        connection_guard::hooks{
            [this] { return caller_server_->connections(); },
            [this] { return context_->running.size(); }});
}

void gateway_process::start_servers()
{
    start_guard();
    caller_server_ = std::make_shared<http_server>(
        loop_->reactor(), settings_.listen, caller_hooks(), guard_->gate());
    ready_server_ = std::make_shared<http_server>(
        loop_->reactor(), settings_.ready_listen, ready_hooks());
    guard_->start();
    caller_server_->start();
    ready_server_->start();
    metrics_ = std::make_unique<metrics_listener>(
        loop_->reactor(), context_->metrics, [this] { refresh_gauges(); });
    metrics_->open(settings_.metrics_listen);
}

session_limits gateway_process::limits() const
{
    session_limits limits;
    if (!context_->routes)
        return limits;
    const auto& configured = context_->routes->limits();
    limits.message.header_bytes = configured.header_bytes;
    limits.message.body_bytes = configured.body_bytes;
    limits.header_timeout = configured.header_timeout;
    limits.idle_timeout = configured.idle_timeout;
    return limits;
}

session_hooks gateway_process::caller_hooks()
{
    session_hooks hooks;
    hooks.serve = [this](caller_request request,
                         std::shared_ptr<answer_writer> writer) {
        guard_->record_request();
        const auto served = std::make_shared<exchange>(
            *context_, std::move(request), std::move(writer));
        served->start();
        return [weak = std::weak_ptr(served)] {
            if (const auto exchange = weak.lock())
                exchange->on_caller_disconnected();
        };
    };
    hooks.limits = [this] { return limits(); };
    hooks.stopping = [this] { return context_->stopping; };
    hooks.closes_first_answers = [this] { return guard_->under_pressure(); };
    hooks.on_rejected = [this](http_problem problem) {
        context_->metrics.count(exported_metric::input_rejected,
                                {"caller", std::string(name_of(problem))});
        log_event(log_severity::warning, log_event_name::caller_refused,
                  {{log_key::reason, name_of(problem)}});
    };
    hooks.on_untaken = [](std::size_t bytes) {
        log_event(log_severity::warning, log_event_name::caller_timed_out,
                  {{log_key::detail, "the answer was not read to its end"},
                   {log_key::bytes, bytes}});
    };
    hooks.on_dropped = [](close_reason reason) {
        log_event(log_severity::warning, log_event_name::request_dropped,
                  {{log_key::reason, name_of(reason)}});
    };
    return hooks;
}

session_hooks gateway_process::ready_hooks()
{
    session_hooks hooks;
    hooks.serve = [this](const caller_request& request,
                         const std::shared_ptr<answer_writer>& writer) {
        http_head head;
        const bool state = request.head.target == "/state";
        head.status = state || ready() ? 200 : 503;
        head.fields.push_back({"Content-Type", "application/json"});
        writer->write_whole(std::move(head), state ? state_text() : "");
        return session_hooks::disconnect_handler();
    };
    hooks.limits = [] { return session_limits(); };
    return hooks;
}

bool gateway_process::ready() const
{
    return !context_->stopping && context_->routes &&
           directory_->upstreams_known() && context_->lease.valid(boot_now());
}

std::string gateway_process::state_text()
{
    const auto now = context_->reactor->now();
    const auto age = context_->lease.age(boot_now());
    std::string text = ready() ? "{\"ready\":true" : "{\"ready\":false";
    const auto add = [&text](const std::string& name, auto value) {
        text += ",\"" + name + "\":" + std::to_string(value);
    };
    add("configuration_version",
        context_->routes ? context_->routes->version() : 0);
    add("configuration_age_ms", age ? age->count() : -1);
    text += directory_->relayed() ? ",\"relayed\":true" : ",\"relayed\":false";
    add("upstreams", context_->upstreams.size());
    add("peers", context_->peers ? context_->peers->gateway_count() - 1 : 0);
    add("resting_upstreams", context_->notices.count_resting(now));
    text +=
        ",\"evacuated_domains\":" + json_list(context_->evacuated.domains());
    add("limited_upstreams", context_->limits.count_limited(now));
    add("cold_upstreams", context_->limits.cold().count(now));
    add("poison_requests", count_poison(suspect_kind::request));
    add("poison_parts", count_poison(suspect_kind::prompt_part));
    add("running", context_->running.size());
    add("connections", caller_server_->connections());
    add("unread_connections", caller_server_->unread_connections());
    add("input_bytes", loop_->reactor()->input()->held());
    add("input_limit", loop_->reactor()->input()->limit());
    add("idle_upstream_connections", context_->connections.size());
    return text + "}";
}

std::size_t gateway_process::count_poison(suspect_kind kind) const
{
    return context_->poison.count_poison(kind, context_->reactor->now());
}

void gateway_process::refresh_gauges()
{
    constexpr double ms_per_s = 1000;
    auto& metrics = context_->metrics;
    const auto now = context_->reactor->now();
    const auto age = context_->lease.age(boot_now());
    metrics.set(exported_metric::configuration_version, {},
                context_->routes ? context_->routes->version() : 0);
    metrics.set(exported_metric::configuration_age, {},
                age ? static_cast<double>(age->count()) / ms_per_s : -1);
    const auto set = [&metrics](exported_metric metric, std::size_t value) {
        metrics.set(metric, {}, static_cast<double>(value));
    };
    set(exported_metric::running, context_->running.size());
    set(exported_metric::connections, caller_server_->connections());
    set(exported_metric::limited_upstreams,
        context_->limits.count_limited(now));
    set(exported_metric::cold_upstreams, context_->limits.cold().count(now));
    set(exported_metric::resting_upstreams,
        context_->notices.count_resting(now));
    set(exported_metric::evacuated_domains, context_->evacuated.size());
    set(exported_metric::poison_requests, count_poison(suspect_kind::request));
    set(exported_metric::poison_parts, count_poison(suspect_kind::prompt_part));
    set(exported_metric::budget_gateways, context_->budget.divisor());
    if (context_->peers)
        set(exported_metric::peers, context_->peers->gateway_count() - 1);
    set(exported_metric::unread_connections,
        caller_server_->unread_connections());
    guard_->refresh_gauges();
    for (const auto& service : context_->upstreams.services()) {
        const auto estimated = context_->upstreams.totals(service, now);
        metrics.set(exported_metric::upstreams, {service}, estimated.upstreams);
        metrics.set(exported_metric::free_slots, {service},
                    estimated.free_slots);
        metrics.set(exported_metric::free_memory, {service},
                    estimated.free_memory_tokens);
        metrics.set(exported_metric::queued, {service}, estimated.queued);
        metrics.set(exported_metric::retries_left, {service},
                    context_->budget.remaining(service, boot_now()));
    }
    const auto& input = *loop_->reactor()->input();
    metrics.set(exported_metric::input_bytes, {"held"},
                static_cast<double>(input.held()));
    metrics.set(exported_metric::input_bytes, {"limit"},
                static_cast<double>(input.limit()));
    export_dropped_lines(metrics);
    export_rejected_messages(metrics);
}

std::vector<std::shared_ptr<exchange>> gateway_process::running_requests() const
{
    std::vector<std::shared_ptr<exchange>> running;
    running.reserve(context_->running.size());
    for (auto* each : context_->running)
        running.push_back(each->shared_from_this());
    return running;
}

void gateway_process::upstream_leaving(const std::string& id,
                                       std::optional<time_point> leaves_at)
{
    log_event(log_severity::info, log_event_name::upstream_leaving,
              {{log_key::upstream, id}});
    auto running = running_requests();
    // If the budget does not suffice for all, the most work is saved first.
    std::stable_sort(running.begin(), running.end(),
                     [](const auto& left, const auto& right) {
                         return left->memory_tokens() > right->memory_tokens();
                     });
    for (const auto& each : running)
        each->upstream_leaving(id, leaves_at);
}

void gateway_process::tick()
{
    if (ended_)
        return;
    directory_->tick();
    context_->update_gateway_count();
    context_->remove_warm();
    context_->record_versions_if_due();
    context_->poison.tick(context_->reactor->now());
    if (context_->kept_marks)
        context_->kept_marks->tick(context_->reactor->now());
    check_settings();
    context_->reactor->post_at(context_->reactor->now() + tick_interval,
                               [this] { tick(); });
}

std::string gateway_process::address() const
{
    return to_string(caller_server_->address());
}

std::string gateway_process::ready_address() const
{
    return to_string(ready_server_->address());
}

} // namespace cyclamenrun

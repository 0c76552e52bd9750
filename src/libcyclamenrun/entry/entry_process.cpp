#include "entry_process.hpp"

#include "bearer_token.hpp"
#include "build_info.hpp"
#include "caller_http_handler.hpp"
#include "configuration_recovery.hpp"
#include "log_change.hpp"
#include "log_event.hpp"
#include "log_tailer.hpp"
#include "logging_platform_log.hpp"
#include "message_reader.hpp"
#include "operator_commands.hpp"
#include "operator_queries.hpp"
#include "platform_log_client.hpp"
#include "request_deadline_listener.hpp"
#include "rpc_http_handler.hpp"
#include "rpc_router.hpp"
#include "snapshot_writer.hpp"
#include "state_dump_sections.hpp"
#include "vm_list_change_logger.hpp"
#include "vm_list_watcher.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <algorithm>
#include <random>
#include <thread>

namespace cyclamenrun
{

namespace
{

/** Threads that serve the links to agents. */
constexpr std::size_t link_loops = 4;
constexpr int caller_stack_bytes = 256 * 1024;
constexpr int operator_threads = 16;
constexpr int idle_thread_seconds = 60;
constexpr milliseconds log_call_timeout{5'000};
/** Long enough for a log that takes 30 s to answer. */
constexpr milliseconds tail_call_timeout{45'000};
constexpr milliseconds operator_call_timeout{10'000};
constexpr milliseconds peer_answer_timeout{1'000};
constexpr milliseconds revisions_timeout{1'000};
constexpr milliseconds drain_poll_interval{20};
/**
 * Polls without an active request after which a drain ends: callers whose last
 * answer did not announce the end of the connection may send one more. Polls
 * and not time, which also passes while the process is paused.
 */
constexpr int last_request_polls = 25;
/** Polls in which requests that are being read may delay that further. */
constexpr int last_read_polls = 100;

entry_core_settings core_settings_of(const entry_settings& settings)
{
    entry_core_settings core;
    core.name = settings.name;
    core.link_key = settings.link_key.reveal();
    core.routes.own_region = settings.region;
    core.routes.own_failure_domain = settings.failure_domain;
    core.routes.members.entry = settings.name;
    core.routes.members.subset.min_size = settings.routing.subset_size;
    core.routes.seed = random_u64();
    core.relay.max_buffered_bytes = settings.limits.answer_bytes;
    core.limits.max_prompt_bytes = settings.limits.prompt_bytes;
    core.limits.default_deadline = settings.deadlines.default_value;
    core.limits.max_deadline = settings.deadlines.max_value;
    core.retry_share = settings.routing.retry_share;
    core.heartbeat_interval = settings.routing.heartbeat_interval;
    core.ticket_lifetime = settings.ticket_lifetime;
    return core;
}

Poco::Net::HTTPServerParams::Ptr server_params(std::uint64_t threads,
                                               std::uint64_t connections,
                                               milliseconds request_timeout,
                                               milliseconds idle_timeout)
{
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(static_cast<int>(threads));
    params->setMaxQueued(static_cast<int>(connections));
    params->setTimeout(Poco::Timespan(request_timeout.count() * 1000));
    params->setKeepAlive(true);
    params->setKeepAliveTimeout(Poco::Timespan(idle_timeout.count() * 1000));
    return params;
}

/** Creates a handler for each RPC request of an operator. */
class operator_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit operator_factory(std::shared_ptr<const rpc_router> router)
        : router_(std::move(router))
    {
    }

    Poco::Net::HTTPRequestHandler*
    createRequestHandler(const Poco::Net::HTTPServerRequest&) override
    {
        return new rpc_http_handler(router_);
    }

private:
    std::shared_ptr<const rpc_router> router_;
};

std::function<double()> uniform_random()
{
    auto engine = std::make_shared<std::mt19937_64>(random_u64());
    return [engine] {
        return std::uniform_real_distribution<double>(0.0, 1.0)(*engine);
    };
}

Poco::JSON::Object::Ptr describe(const candidate& agent)
{
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    object->set("upstream", agent.upstream);
    object->set("service", agent.service);
    object->set("address", agent.address);
    object->set("failure_domain", agent.failure_domain);
    object->set("state", std::string(name_of(agent.state)));
    object->set("incarnation", hex_of(agent.incarnation));
    return object;
}

} // namespace

entry_process::entry_process(const entry_settings& settings)
    : settings_(settings),
      caller_threads_(4, static_cast<int>(settings.limits.threads),
                      idle_thread_seconds),
      operator_threads_(2, operator_threads, idle_thread_seconds)
{
    for (std::size_t i = 0; i < link_loops; ++i)
        loops_.push_back(std::make_shared<link_loop>());
    core_ = std::make_unique<entry_core>(core_settings_of(settings_), loops_,
                                         steady_now);
    add_dump_sections();
    start_configuration_sources();
    serve_operators();
    serve_callers();
}

entry_process::~entry_process()
{
    callers_->stopAll(true);
    operators_->stopAll(true);
    caller_threads_.joinAll();
    operator_threads_.joinAll();
    vm_list_.reset();
    stop_log_.cancel();
    tailer_->stop();
    core_.reset();
}

std::string entry_process::address() const
{
    return callers_->socket().address().toString();
}

std::string entry_process::operator_address() const
{
    return operators_->socket().address().toString();
}

void entry_process::start_configuration_sources()
{
    const auto platform = to_string(settings_.platform.address);
    log_ = std::make_unique<platform_log_client>(
        platform, settings_.platform.log, exchange_limits{}, log_call_timeout,
        steady_now, &stop_log_);
    tail_log_ = std::make_unique<platform_log_client>(
        platform, settings_.platform.log, exchange_limits{}, tail_call_timeout,
        steady_now, &stop_log_);
    logging_log_ = std::make_unique<logging_platform_log>(
        *log_, core_->measurements(), steady_now);
    logging_tail_log_ = std::make_unique<logging_platform_log>(
        *tail_log_, core_->measurements(), steady_now);
    auto& store = core_->configuration();
    snapshots_ = std::make_shared<snapshot_writer>(
        *logging_log_, store, settings_.name, snapshot_settings{}, random_u64,
        steady_now());
    tailer_ =
        std::make_unique<log_tailer>(*logging_tail_log_, store, tail_settings{},
                                     steady_now, uniform_random());
    tailer_->set_snapshot_writer(snapshots_);
    enable_peer_recovery();
    tailer_->start();
    vm_list_ = std::make_unique<vm_list_watcher>(
        platform,
        [this, list_log = std::make_shared<vm_list_change_logger>()](
            const vm_list& list) {
            list_log->log_changes(list);
            core_->on_vm_list(list);
            snapshots_->on_entries(core_->routes().members().entries());
        },
        steady_now);
}

/**
 * Lets new entries get the configuration from agents during an outage of the
 * log. Otherwise, as VMs are replaced, each new entry would stay unready until
 * the log is back, and in the end no entry would be ready.
 */
void entry_process::enable_peer_recovery()
{
    recovery_ = std::make_unique<configuration_recovery>(
        core_->configuration(), [this](const std::string& agent) {
            return core_
                ->query_agent(agent, "/configuration", {},
                              steady_now() + peer_answer_timeout)
                .value_or(std::string());
        });
    tailer_->on_read_problem([this](const tail_status& tail) {
        const auto now = steady_now();
        auto peers = core_->revisions().list(now);
        std::erase_if(peers, [](const v1::ProcessRevision& peer) {
            return peer.role() != name_of(process_role::agent);
        });
        if (recovery_->poll(tail, peers, now))
            log_event(log_severity::warning,
                      log_event_name::configuration_from_peer);
    });
}

void entry_process::serve_operators()
{
    commands_ = std::make_unique<operator_commands>(
        *logging_log_, core_->configuration(), steady_now);
    queries_ = std::make_unique<operator_queries>(
        core_->configuration(), core_->revisions(),
        process_identity{settings_.name, process_role::entry,
                         settings_.failure_domain},
        steady_now);
    const auto router = std::make_shared<rpc_router>(
        [keys = settings_.operator_keys](std::string_view authorization) {
            const auto key = parse_bearer_token(authorization);
            return key && std::any_of(keys.begin(), keys.end(),
                                      [&](const key_hash& known) {
                                          return known.matches(*key);
                                      });
        });
    add_commands(*router);
    add_queries(*router);
    const auto socket = listen_with_deadline(settings_.operator_listen,
                                             settings_.limits.request_timeout);
    operators_ = std::make_unique<Poco::Net::HTTPServer>(
        new operator_factory(router), operator_threads_, socket,
        server_params(operator_threads, operator_threads,
                      settings_.limits.request_timeout,
                      settings_.limits.idle_timeout));
    operators_->start();
}

void entry_process::add_commands(rpc_router& router)
{
    const std::string service = "cyclamenrun.v1.CommandService";
    router.add_method<v1::ApplyChangeRequest, v1::ApplyChangeResponse>(
        service, "ApplyChange", [this](const auto& request) {
            auto response = commands_->apply_change(
                request, steady_now() + operator_call_timeout);
            log_change(request.change(), response);
            return response;
        });
    router.add_method<v1::DrainUpstreamRequest, v1::DrainUpstreamResponse>(
        service, "DrainUpstream",
        [this](const auto& request) { return drain_upstream(request); });
}

void entry_process::add_queries(rpc_router& router)
{
    const std::string service = "cyclamenrun.v1.QueryService";
    router.add_method<v1::ListResourcesRequest, v1::ListResourcesResponse>(
        service, "ListResources", [this](const auto& request) {
            return queries_->list_resources(request);
        });
    router.add_method<v1::FindChangeRequest, v1::FindChangeResponse>(
        service, "FindChange",
        [this](const auto& request) { return queries_->find_change(request); });
    router.add_method<v1::ListRevisionsRequest, v1::ListRevisionsResponse>(
        service, "ListRevisions", [this](const auto& request) {
            core_->collect_entry_revisions(steady_now() + revisions_timeout);
            return queries_->list_revisions(request);
        });
    router.add_method<v1::DumpStateRequest, v1::DumpStateResponse>(
        service, "DumpState",
        [this](const auto& request) { return dump_state(request); });
}

outcome<v1::DrainUpstreamResponse>
entry_process::drain_upstream(const v1::DrainUpstreamRequest& request)
{
    link::Drain drain;
    // Sets a field explicitly, since a message without fields is an empty
    // frame.
    drain.set_reclaim_in_ms(0);
    const auto answer = core_->query_agent(
        request.upstream(), "/drain", drain.SerializeAsString(),
        steady_now() + operator_call_timeout);
    if (!answer)
        return tl::unexpected(answer.error());
    link::LoadReport load;
    if (!read_checked(*answer, load))
        return tl::unexpected(outcome_unknown(refusal_reason::protocol_error));
    core_->routes().update_report(load, steady_now());
    v1::DrainUpstreamResponse response;
    response.set_running(load.running());
    return response;
}

outcome<v1::DumpStateResponse>
entry_process::dump_state(const v1::DumpStateRequest& request)
{
    v1::DumpStateResponse response;
    if (request.upstream().empty()) {
        response.set_json(dump_.write());
        return response;
    }
    const auto answer = core_->query_agent(
        request.upstream(), "/dump", {}, steady_now() + operator_call_timeout);
    if (!answer)
        return tl::unexpected(answer.error());
    response.set_json(*answer);
    return response;
}

void entry_process::serve_callers()
{
    caller_threads_.setStackSize(caller_stack_bytes);
    const auto socket = listen_with_deadline(settings_.listen,
                                             settings_.limits.request_timeout);
    callers_ = std::make_unique<Poco::Net::HTTPServer>(
        new caller_http_factory(*core_, {settings_.limits.body_bytes,
                                         settings_.limits.header_bytes,
                                         settings_.limits.write_timeout}),
        caller_threads_, socket,
        server_params(settings_.limits.threads, settings_.limits.connections,
                      settings_.limits.request_timeout,
                      settings_.limits.idle_timeout));
    callers_->start();
}

bool entry_process::drain()
{
    log_event(log_severity::info, log_event_name::drain_started);
    core_->mark_not_ready();
    std::this_thread::sleep_for(settings_.drain.balancer_wait);
    // Callers that still connect are refused; the queue of a listener that
    // nobody accepts from would hold them without an answer.
    core_->start_draining();
    const auto deadline = steady_now() + settings_.drain.timeout;
    if (!wait_for_requests(deadline)) {
        log_event(log_severity::error, log_event_name::drain_timed_out,
                  {{log_key::running, core_->active_requests()}});
        return false;
    }
    callers_->stop();
    log_event(log_severity::info, log_event_name::drain_finished);
    return true;
}

bool entry_process::wait_for_requests(time_point deadline) const
{
    for (int polls = 0; polls < last_request_polls ||
                        (core_->handled_requests() > 0 &&
                         polls < last_request_polls + last_read_polls);
         ++polls) {
        if (core_->active_requests() > 0) {
            if (steady_now() >= deadline)
                return false;
            polls = 0;
        }
        std::this_thread::sleep_for(drain_poll_interval);
    }
    return true;
}

void entry_process::add_dump_sections()
{
    dump_.add_section("process", [this](Poco::JSON::Object& section) {
        section.set("role", "entry");
        section.set("name", settings_.name);
        section.set("region", settings_.region);
        section.set("failure_domain", settings_.failure_domain);
        section.set("version", std::string(build_version));
        section.set("ready", core_->ready());
        section.set("active_requests", core_->active_requests());
        section.set("configuration_revision",
                    core_->configuration().revision());
        section.set("poison_marks", core_->poison().size());
    });
    dump_.add_section("upstreams", [this](Poco::JSON::Object& section) {
        Poco::JSON::Array::Ptr list = new Poco::JSON::Array;
        for (const auto& agent : core_->routes().members().subset())
            list->add(describe(agent));
        section.set("list", list);
    });
    dump_.add_section("log", [this](Poco::JSON::Object& section) {
        const auto status = tailer_->status();
        section.set("state", std::string(name_of(status.state)));
        section.set("first_retained", status.first_retained);
        section.set("end", status.end);
        section.set("gaps", status.gaps);
        section.set("failures", status.failures);
        section.set("failures_in_a_row", status.failures_in_a_row);
    });
    add_rejected_messages_section(dump_);
    add_metrics_section(dump_, core_->measurements(), steady_now);
}

} // namespace cyclamenrun

#include "agent_process.hpp"

#include "agent_server.hpp"
#include "build_info.hpp"
#include "digest.hpp"
#include "log_event.hpp"
#include "message_reader.hpp"
#include "order_worker.hpp"
#include "platform_log_client.hpp"
#include "shared_input_budget.hpp"
#include "state_dump_sections.hpp"
#include "upstream_driver.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/Net/SocketAddress.h>
#include <thread>

namespace cyclamenrun
{

namespace
{

constexpr milliseconds drain_poll_interval{50};
constexpr milliseconds log_call_timeout{5'000};
/** A dump lists at most this number of sessions; the rest are only counted. */
constexpr std::size_t max_dumped_sessions = 200;

gate_settings gate_settings_of(const agent_settings& settings,
                               std::uint64_t incarnation)
{
    gate_settings gate;
    gate.upstream = settings.name;
    gate.incarnation = incarnation;
    gate.started_at = steady_now();
    gate.link_key = settings.link_key.reveal();
    gate.admission = default_admission(objective::stall_time);
    gate.admission.memory_tokens = settings.upstream.memory_tokens;
    gate.admission.max_running =
        static_cast<std::uint32_t>(settings.upstream.max_running);
    gate.admission.max_queued =
        static_cast<std::uint32_t>(settings.upstream.max_queued);
    gate.max_kept_bytes = settings.replay.total_bytes;
    gate.replay_window_tokens = settings.replay.window_tokens;
    gate.resume_grace = settings.replay.resume_grace;
    gate.drain_linger = settings.drain_linger;
    gate.tombstone_capacity = settings.tombstones.capacity;
    gate.tombstone_lifetime = settings.tombstones.lifetime;
    return gate;
}

upstream_driver_settings driver_settings_of(const agent_settings& settings)
{
    upstream_driver_settings driver;
    driver.address = to_string(settings.upstream.address);
    driver.kind = settings.upstream.kind;
    driver.max_running =
        static_cast<std::uint32_t>(settings.upstream.max_running);
    driver.http.connect_timeout = settings.upstream.connect_timeout;
    driver.http.response_timeout = settings.upstream.idle_timeout;
    driver.http.input = std::make_shared<shared_input_budget>();
    return driver;
}

Poco::JSON::Object::Ptr describe(work_id work, const work_session& session,
                                 time_point now)
{
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    object->set("work", work);
    object->set("request_id", session.request.request_id());
    object->set("team", session.request.team());
    object->set("service", session.request.service());
    object->set("state", std::string(name_of(session.state)));
    object->set("tokens", session.replay.next_index());
    object->set("kept_bytes", session.bytes_kept());
    object->set("readers", session.readers.size());
    object->set("suspect", session.suspect);
    object->set("deadline_ms", time_left(session.deadline, now).count());
    if (session.refused)
        object->set("refused", std::string(name_of(session.refused->reason)));
    return object;
}

} // namespace

agent_process::agent_process(const agent_settings& settings)
    : settings_(settings), incarnation_(random_u64()),
      driver_(std::make_unique<upstream_driver>(driver_settings_of(settings_),
                                                steady_now))
{
    gate_hooks hooks;
    hooks.start = [this](const admitted_work& admitted) {
        driver_->start(admitted);
    };
    hooks.stop = [this](work_id work) { driver_->stop(work); };
    hooks.wake = [this](reader_id reader) { server_->wake(reader); };
    hooks.state_changed = [this] { server_->on_state_changed(); };
    gate_ = std::make_unique<gate>(gate_settings_of(settings_, incarnation_),
                                   std::move(hooks));
    add_dump_sections();
    serve_entries();
    if (settings_.upstream.kind == upstream_kind::model)
        start_order_worker();
    driver_->attach(*gate_);
}

void agent_process::serve_entries()
{
    agent_server_hooks hooks;
    hooks.dump = [this] { return dump_.write(); };
    hooks.apply_configuration = [this](const link::Heartbeat& heartbeat) {
        v1::ConfigurationDelta delta;
        if (!heartbeat.config_delta().empty() &&
            read_checked(heartbeat.config_delta(), delta))
            configuration_.apply(delta);
    };
    hooks.configuration_revision = [this] { return configuration_.revision(); };
    hooks.configuration_state = [this] {
        return configuration_.serialized_state();
    };
    server_ = std::make_unique<agent_server>(
        loop_, Poco::Net::SocketAddress(to_string(settings_.listen)),
        settings_.link_key.reveal(), link_limits{}, *gate_, std::move(hooks),
        steady_now);
}

void agent_process::start_order_worker()
{
    log_ = std::make_unique<platform_log_client>(
        to_string(settings_.platform.address), settings_.platform.log,
        exchange_limits{}, log_call_timeout, steady_now, &stop_log_);
    order_worker_settings worker;
    worker.upstream = settings_.name;
    worker.service = settings_.service;
    worker.incarnation = incarnation_;
    worker.lease.engine_honours_fencing = settings_.upstream.honours_fence;
    orders_ = std::make_unique<order_worker>(
        worker, *log_, configuration_,
        [this](const engine_order& order) {
            const auto result = driver_->send_order(order);
            log_event(log_severity::info,
                      result == order_result::done
                          ? log_event_name::order_given
                          : log_event_name::order_refused,
                      {{log_key::kind, name_of(order.action)},
                       {log_key::fence, order.fence}});
            return result;
        },
        steady_now);
    configuration_.on_change([this](std::uint64_t) {
        orders_->on_configuration();
        apply_objective();
    });
    driver_->on_engine_ready([this] { orders_->on_engine_restarted(); });
}

agent_process::~agent_process()
{
    driver_->shut_down();
    server_.reset();
    stop_log_.cancel();
    orders_.reset();
}

void agent_process::apply_objective()
{
    const auto view = configuration_.view();
    const auto* service =
        view ? view->resources.service(settings_.service) : nullptr;
    if (service == nullptr)
        return;
    gate_->apply_objective(service->objective() == v1::OBJECTIVE_TOKEN_LATENCY
                               ? objective::token_latency
                               : objective::stall_time);
}

std::string agent_process::address() const
{
    return server_->address().toString();
}

bool agent_process::drain()
{
    const auto deadline = steady_now() + settings_.drain_timeout;
    gate_->drain(steady_now());
    while (!gate_->drained(steady_now())) {
        if (steady_now() >= deadline) {
            log_event(log_severity::error, log_event_name::drain_timed_out);
            return false;
        }
        std::this_thread::sleep_for(drain_poll_interval);
    }
    log_event(log_severity::info, log_event_name::drain_finished);
    return true;
}

void agent_process::add_dump_sections()
{
    dump_.add_section("process", [this](Poco::JSON::Object& section) {
        section.set("role", "agent");
        section.set("upstream", settings_.name);
        section.set("service", settings_.service);
        section.set("region", settings_.region);
        section.set("failure_domain", settings_.failure_domain);
        section.set("incarnation", hex_of(incarnation_));
        section.set("version", std::string(build_version));
        section.set("configuration_revision", configuration_.revision());
    });
    dump_.add_section("load", [this](Poco::JSON::Object& section) {
        const auto load = gate_->load(steady_now());
        section.set("uptime_ms", load.uptime_ms());
        section.set("ready", load.ready());
        section.set("leaving", load.leaving());
        section.set("running", load.running());
        section.set("queued", load.queued());
        section.set("memory_tokens_used", load.memory_tokens_used());
        section.set("memory_tokens_total", load.memory_tokens_total());
        section.set("expected_wait_ms", load.expected_wait_ms());
        section.set("queued_tokens", load.queued_tokens());
    });
    add_rejected_messages_section(dump_);
    dump_.add_section("orders", [this](Poco::JSON::Object& section) {
        if (!orders_)
            return;
        section.set("state", std::string(name_of(orders_->state())));
        section.set("fencing_number", orders_->fencing_number());
    });
    dump_.add_section("sessions", [this](Poco::JSON::Object& section) {
        Poco::JSON::Array::Ptr list = new Poco::JSON::Array;
        std::size_t count = 0;
        const auto now = steady_now();
        gate_->visit([&](work_id work, const work_session& session) {
            if (++count <= max_dumped_sessions)
                list->add(describe(work, session, now));
        });
        section.set("count", count);
        section.set("list", list);
    });
}

} // namespace cyclamenrun

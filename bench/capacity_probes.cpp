#include "capacity_probes.hpp"

#include "gate.hpp"
#include "length_predictor.hpp"
#include "link.pb.h"
#include "peer_probes.hpp"
#include "poison_register.hpp"
#include "route_table.hpp"
#include "team_registry.hpp"
#include "tombstones.hpp"

#include <ctime>
#include <functional>
#include <malloc.h>
#include <memory>

namespace cyclamenrun::bench
{

namespace
{

const time_point start{std::chrono::hours(1)};
const std::string link_key = "0123456789abcdef0123456789abcdef";
/**
 * Overhead of an HTTP/2 stream with one frame in each direction, without the
 * payload: HEADERS frames, DATA frame headers and the length prefixes.
 */
constexpr double stream_overhead_bytes = 120.0;

double heap_bytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

double thread_microseconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 +
           static_cast<double>(time.tv_nsec) / 1e3;
}

/** Mean processor time of one call of `work` in microseconds. */
double time_each(int count, const std::function<void(int)>& work)
{
    const auto before = thread_microseconds();
    for (int i = 0; i < count; ++i)
        work(i);
    return (thread_microseconds() - before) / count;
}

/** Creates an object of a size; the result keeps it while it is measured. */
using object_factory = std::function<std::shared_ptr<void>(std::size_t size)>;

capacity_slope memory_slope(const char* role, const char* quantity,
                            const std::vector<std::size_t>& sizes,
                            const object_factory& make)
{
    capacity_slope slope{role, quantity, "bytes", {}, {}};
    for (const auto size : sizes) {
        malloc_trim(0);
        const auto before = heap_bytes();
        const auto object = make(size);
        slope.points.push_back(
            {static_cast<double>(size), heap_bytes() - before});
    }
    slope.fit = fit_line(slope.points);
    return slope;
}

std::string numbered(const char* prefix, std::size_t number)
{
    return prefix + std::to_string(number);
}

vm_list agents_of_one_service(std::size_t count)
{
    vm_list list;
    list.revision = 1;
    for (std::size_t i = 0; i < count; ++i)
        list.vms.push_back({numbered("vm-", i), "10.0.0.1:9090", "region-1",
                            numbered("domain-", i % 14), "service",
                            vm_state::live});
    return list;
}

link::LoadReport report_of(std::size_t agent)
{
    link::LoadReport report;
    report.set_upstream(numbered("vm-", agent));
    report.set_incarnation(agent + 1);
    report.set_uptime_ms(3'600'000);
    report.set_ready(true);
    report.set_running(40);
    report.set_queued(12);
    report.set_memory_tokens_used(90'000);
    report.set_memory_tokens_total(131'072);
    report.set_expected_wait_ms(800);
    report.set_queued_tokens(4'000);
    return report;
}

std::shared_ptr<route_table> make_routes(std::size_t agents, std::size_t subset)
{
    route_table_settings settings;
    settings.members.entry = "entry-1";
    settings.members.subset.min_size = subset;
    settings.members.subset.max_size = subset;
    auto routes = std::make_shared<route_table>(settings);
    routes->members().on_list(agents_of_one_service(agents), start);
    for (const auto& agent : routes->members().subset())
        routes->update_report(report_of(std::stoul(agent.upstream.substr(3))),
                              start);
    return routes;
}

/** An entry's state of its teams, including their configuration. */
struct entry_teams {
    configuration_view view;
    team_registry registry{0.1};
};

std::shared_ptr<entry_teams> make_teams(std::size_t count)
{
    auto teams = std::make_shared<entry_teams>();
    auto& view = teams->view;
    auto& registry = teams->registry;
    for (std::size_t i = 0; i < count; ++i) {
        v1::ResourceState state;
        state.set_kind(v1::RESOURCE_KIND_TEAM);
        state.set_name(numbered("team-", i));
        state.set_revision(i + 1);
        auto& team = *state.mutable_resource()->mutable_team();
        team.set_name(numbered("team-", i));
        team.set_key_salt(std::string(16, 's'));
        team.set_key_hash(std::string(32, 'h'));
        team.set_tokens_per_second(1000);
        view.resources.put(state);
    }
    registry.on_configuration(view);
    // The registry creates a team's limits at its first request.
    for (const auto* team : view.resources.teams()) {
        if (registry.admit(*team, 100, start))
            registry.finish(team->name());
    }
    return teams;
}

/** A gate whose upstream never responds, so that it keeps all sessions. */
std::shared_ptr<gate> make_gate()
{
    gate_settings settings;
    settings.upstream = "vm-1";
    settings.incarnation = 1;
    settings.started_at = start;
    settings.link_key = link_key;
    settings.max_sessions = 100'000;
    settings.max_kept_bytes = std::size_t{1} << 30U;
    settings.admission.memory_tokens = 1'000'000'000;
    settings.admission.max_running = 100'000;
    settings.admission.max_queued = 100'000;
    settings.admission.max_queued_prompt_tokens = 1'000'000'000;
    settings.admission.max_wait = std::chrono::hours(1);
    gate_hooks hooks;
    hooks.start = [](const admitted_work&) {};
    hooks.stop = [](work_id) {};
    hooks.wake = [](reader_id) {};
    hooks.state_changed = [] {};
    auto probed_gate = std::make_shared<gate>(settings, hooks);
    probed_gate->engine_ready(0, start);
    return probed_gate;
}

link::Dispatch generation(std::size_t number)
{
    link::Dispatch dispatch;
    dispatch.set_request_id(numbered("12345678901234567890.", number));
    dispatch.set_kind(link::WORK_KIND_GENERATION);
    dispatch.set_team(numbered("team-", number % 350));
    dispatch.set_service("service");
    dispatch.set_time_left_ms(600'000);
    dispatch.set_prompt_tokens(500);
    dispatch.set_max_output_tokens(4'096);
    dispatch.set_fingerprint(number);
    dispatch.set_body(std::string(2'000, 'p'));
    for (std::uint64_t block = 0; block < 7; ++block)
        dispatch.add_prefix_blocks(block);
    return dispatch;
}

std::shared_ptr<gate> gate_with_sessions(std::size_t count)
{
    auto probed_gate = make_gate();
    for (std::size_t i = 0; i < count; ++i)
        (void)probed_gate->submit(generation(i), start);
    return probed_gate;
}

std::shared_ptr<gate> gate_with_tokens(std::size_t count)
{
    auto probed_gate = make_gate();
    (void)probed_gate->submit(generation(0), start);
    for (std::size_t i = 0; i < count; ++i)
        probed_gate->record_token(1, " token", start);
    return probed_gate;
}

std::shared_ptr<void> make_tombstones(std::size_t count)
{
    auto result = std::make_shared<tombstones>(count);
    for (std::size_t i = 0; i < count; ++i)
        result->add(numbered("1234567890123456789012345678901234567890.", i),
                    start + std::chrono::hours(1), start);
    return result;
}

std::shared_ptr<void> make_tickets(std::size_t count)
{
    auto result = std::make_shared<ticket_use_registry>(link_key, "vm-1", 1,
                                                        start, count);
    const ticket_authority authority(link_key);
    for (std::size_t i = 0; i < count; ++i) {
        auto dispatch = generation(i);
        *dispatch.mutable_ticket() =
            authority.mint({"vm-1", 1, "team", "service", 600'000});
        result->record_use(dispatch, i, start);
    }
    return result;
}

std::shared_ptr<void> make_poison_marks(std::size_t count)
{
    auto result =
        std::make_shared<poison_register>(count, std::chrono::hours(1));
    for (std::size_t i = 0; i < count; ++i)
        result->record_loss(
            {suspected_work(i), 1, run_stage::beginning, start, start}, start);
    return result;
}

std::shared_ptr<void> make_length_curves(std::size_t count)
{
    auto result = std::make_shared<length_predictor>(count);
    for (std::size_t i = 0; i < count; ++i)
        result->learn("service", numbered("team-", i), 400, true);
    return result;
}

/** Measures the processor time of a choice by the number of candidates. */
capacity_slope choice_slope()
{
    capacity_slope slope{
        "entry", "choice of upstream, per candidate", "us", {}, {}};
    for (const std::size_t size : {8U, 24U, 64U, 128U}) {
        const auto routes = make_routes(1200, size);
        relay_request request;
        request.service = "service";
        request.team = "team";
        request.prompt_tokens = 500;
        request.prefix_blocks = {1, 2, 3, 4, 5};
        slope.points.push_back(
            {static_cast<double>(size), time_each(20'000, [&](int) {
                 (void)routes->choose(request, objective::stall_time, {}, false,
                                      start);
             })});
    }
    slope.fit = fit_line(slope.points);
    return slope;
}

link::Heartbeat heartbeat()
{
    link::Heartbeat result;
    result.set_entry("entry-1");
    result.set_failure_domain("domain-1");
    result.set_config_revision(100'000);
    result.set_marks_seen(3);
    result.set_wait_ms(5'000);
    result.set_known_change(4);
    result.set_known_revision(100'000);
    return result;
}

link::HeartbeatReply reply()
{
    link::HeartbeatReply result;
    *result.mutable_load() = report_of(1);
    result.set_config_revision(100'000);
    result.set_marks_version(3);
    result.set_load_change(4);
    return result;
}

double time_of_heartbeat_at_entry()
{
    const auto routes = make_routes(1200, 64);
    const auto bytes = reply().SerializeAsString();
    return time_each(50'000, [&](int) {
        link::HeartbeatReply parsed;
        parsed.ParseFromString(bytes);
        routes->update_report(parsed.load(), start);
        (void)heartbeat().SerializeAsString();
    });
}

double time_of_heartbeat_at_agent()
{
    const auto probed_gate = gate_with_sessions(64);
    const auto bytes = heartbeat().SerializeAsString();
    return time_each(50'000, [&](int) {
        link::Heartbeat parsed;
        parsed.ParseFromString(bytes);
        auto answer = reply();
        *answer.mutable_load() = probed_gate->load(start);
        (void)answer.SerializeAsString();
    });
}

double time_of_token_at_gate()
{
    const auto probed_gate = make_gate();
    const auto reader = probed_gate->submit(generation(0), start);
    return time_each(100'000, [&](int) {
        probed_gate->record_token(1, " token", start);
        for (const auto& frame : probed_gate->pull(*reader, 4096, start).frames)
            (void)frame.SerializeAsString();
    });
}

double time_of_submission()
{
    const auto probed_gate = make_gate();
    return time_each(5'000, [&](int i) {
        const auto work = static_cast<std::size_t>(i);
        (void)probed_gate->submit(generation(work), start);
        probed_gate->record_finish(work + 1, "stop", start);
    });
}

} // namespace

std::vector<capacity_slope> measure_slopes()
{
    const std::vector<std::size_t> agents{150, 300, 600, 1200};
    const std::vector<std::size_t> teams{50, 100, 200, 350};
    const std::vector<std::size_t> session_counts{100, 200, 400, 800};
    const std::vector<std::size_t> ids{1'000, 4'000, 16'000, 64'000};
    return {
        memory_slope("entry", "VM in the list", agents,
                     [](std::size_t n) { return make_routes(n, 24); }),
        memory_slope("entry", "agent of the subset", {24, 64, 128, 256},
                     [](std::size_t n) { return make_routes(1200, n); }),
        memory_slope("entry", "team", {350, 700, 1400, 2800}, make_teams),
        memory_slope("entry", "poison mark", ids, make_poison_marks),
        choice_slope(),
        memory_slope("agent", "session, waiting or running", session_counts,
                     gate_with_sessions),
        memory_slope("agent", "token kept for replay", ids, gate_with_tokens),
        memory_slope("agent", "tombstone", ids, make_tombstones),
        memory_slope("agent", "ticket used", ids, make_tickets),
        memory_slope("agent", "learnt curve", teams, make_length_curves),
    };
}

std::vector<capacity_constant> measure_constants()
{
    std::vector<capacity_constant> constants{
        {"entry", "heartbeat: reply read, next written", "us",
         time_of_heartbeat_at_entry()},
        {"agent", "heartbeat: read, answered", "us",
         time_of_heartbeat_at_agent()},
        {"link", "heartbeat, both ways", "bytes",
         static_cast<double>(heartbeat().ByteSizeLong() +
                             reply().ByteSizeLong()) +
             stream_overhead_bytes},
        {"agent", "token: taken in, pulled, serialized", "us",
         time_of_token_at_gate()},
        {"agent", "work: submitted, admitted, finished", "us",
         time_of_submission()},
    };
    for (auto& each : measure_peer_exchange())
        constants.push_back(std::move(each));
    return constants;
}

} // namespace cyclamenrun::bench

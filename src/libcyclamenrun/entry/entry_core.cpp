#include "entry_core.hpp"

#include "agent_query.hpp"
#include "caller_writer.hpp"
#include "log_event.hpp"
#include "message_reader.hpp"
#include "metrics_caller_writer.hpp"
#include "operator.pb.h"
#include "outcome_metrics.hpp"

#include <algorithm>

namespace cyclamenrun
{

namespace
{

constexpr milliseconds not_ready_retry_delay{1000};
constexpr std::size_t agent_state_shards = 16;
/** If there are more agents, this number to twice as many are queried. */
constexpr std::size_t min_agents_queried = 24;
/** Number of entries that send a new agent its first configuration. */
constexpr std::uint64_t first_configuration_senders = 3;
/**
 * After this number of replies without a configuration, any entry sends the
 * configuration to the agent.
 */
constexpr int max_empty_replies = 3;
/** Maximum reply delay of an agent that has no configuration yet. */
constexpr milliseconds new_agent_wait{500};

agent_address address_of(const candidate& agent)
{
    return {agent.upstream, agent.address};
}

/** The refusal of a request that has not started: the caller can retry it. */
refusal not_ready_refusal()
{
    return not_run(refusal_reason::not_ready,
                   "this entry has no configuration yet, or is stopping",
                   not_ready_retry_delay);
}

objective objective_of(const caller_session& caller, const std::string& service)
{
    const auto* found = caller.view->resources.service(service);
    return found != nullptr && found->objective() == v1::OBJECTIVE_TOKEN_LATENCY
               ? objective::token_latency
               : objective::stall_time;
}

} // namespace

entry_core::entry_core(const entry_core_settings& settings,
                       const std::vector<std::shared_ptr<link_loop>>& loops,
                       clock_function clock)
    : settings_(settings), clock_(std::move(clock)),
      teams_(settings_.retry_share), routes_(settings_.routes),
      poison_(settings_.poison_capacity, settings_.poison_mark_lifetime),
      tickets_(settings_.link_key),
      agent_states_(
          agent_state_shards,
          [](std::size_t) { return std::make_unique<agent_state_map>(); }),
      links_(loops, settings_.link_key, link_limits{},
             {[this](const std::string& upstream) {
                  return make_heartbeat(upstream);
              },
              [this](const std::string& upstream,
                     const link::HeartbeatReply& reply) {
                  on_heartbeat(upstream, reply);
              },
              [this](const std::string& upstream, link_failure failure) {
                  on_link_failure(upstream, failure);
              }},
             clock_)
{
    configuration_.on_change([this](std::uint64_t revision) {
        log_event(log_severity::info, log_event_name::configuration_applied,
                  {{log_key::revision, revision}});
        if (const auto view = configuration_.view())
            teams_.on_configuration(*view);
        send_heartbeats();
    });
}

entry_core::~entry_core()
{
    links_.close();
}

outcome<caller_session>
entry_core::authenticate(const std::string& authorization) const
{
    caller_session caller;
    caller.view = configuration_.view();
    if (!caller.view)
        return tl::unexpected(not_ready_refusal());
    const auto team = teams_.authenticate(authorization);
    if (!team)
        return tl::unexpected(team.error());
    caller.team = caller.view->resources.team(*team);
    if (caller.team == nullptr)
        return tl::unexpected(not_run(refusal_reason::unauthenticated));
    return caller;
}

outcome<const v1::Service*> entry_core::service(const caller_session& caller,
                                                const std::string& name) const
{
    const auto* service = caller.view->resources.service(name);
    if (service == nullptr)
        return tl::unexpected(not_run(refusal_reason::unknown_service,
                                      "there is no such service"));
    const auto& allowed = caller.team->services();
    if (!allowed.empty() &&
        std::find(allowed.begin(), allowed.end(), name) == allowed.end())
        return tl::unexpected(not_run(refusal_reason::forbidden,
                                      "the team may not use this service"));
    return service;
}

relay_result entry_core::serve(const caller_session& caller,
                               relay_request request, caller_writer& writer)
{
    request.team = caller.team->name();
    request.team_weight = std::max<std::uint32_t>(1, caller.team->weight());
    const auto started_at = clock_();
    relay_result result;
    // A resumed request has already passed the team's limits.
    const bool resumes = request.resume_after.has_value();
    if (draining_ && !resumes)
        result.refused = not_ready_refusal();
    else if (!resumes) {
        const auto admitted =
            teams_.admit(*caller.team, request.prompt_tokens, started_at);
        if (!admitted)
            result.refused = admitted.error();
    }
    if (result.refused) {
        result.caller_disconnected = !writer.refuse(*result.refused);
        return result;
    }
    ++active_;
    relay relay(request, settings_.relay, relay_hooks_for(caller));
    relay_runner runner(links_, runner_hooks(request.service), clock_);
    metrics_caller_writer measured(writer, metrics_, clock_, started_at);
    result = runner.run(relay, measured);
    --active_;
    if (!resumes)
        teams_.finish(request.team);
    record_outcome(metrics_, request, result, started_at, clock_());
    log_outcome(request, relay, result);
    return result;
}

outcome<link::Ticket> entry_core::mint_ticket(const caller_session& caller,
                                              const v1::Service& service)
{
    if (service.kind() != v1::SERVICE_KIND_APPLICATION)
        return tl::unexpected(not_run(refusal_reason::bad_request,
                                      "this service does not accept calls"));
    if (draining_)
        return tl::unexpected(not_ready_refusal());
    relay_request request;
    request.team = caller.team->name();
    request.service = service.name();
    const auto now = clock_();
    const auto target =
        routes_.choose(request, objective::stall_time, {}, false, now);
    if (!target)
        return tl::unexpected(target.error());
    const auto uptime = routes_.agent_uptime(target->upstream, now);
    if (!uptime || uptime->incarnation != target->incarnation)
        return tl::unexpected(
            not_run(refusal_reason::no_upstream,
                    "the agent was replaced while the ticket was made",
                    not_ready_retry_delay));
    const auto lifetime =
        static_cast<std::uint64_t>(settings_.ticket_lifetime.count());
    return tickets_.mint({target->upstream, target->incarnation,
                          caller.team->name(), service.name(),
                          uptime->uptime_ms + lifetime});
}

relay_hooks entry_core::relay_hooks_for(const caller_session& caller)
{
    relay_hooks hooks;
    hooks.choose = [this, caller](const relay_request& request,
                                  const std::vector<std::string>& excluded,
                                  bool suspect, time_point now) {
        return routes_.choose(request, objective_of(caller, request.service),
                              excluded, suspect, now);
    };
    hooks.spend_retry = [this](const std::string& team, time_point) {
        return teams_.spend_retry(team);
    };
    hooks.admit = [this](const suspected_work& work, solo_run& claim,
                         time_point now) {
        const auto version = poison_.version();
        const auto admission = poison_.admit(work, claim, now);
        if (poison_.version() != version)
            send_heartbeats();
        return admission;
    };
    hooks.end_solo = [this](solo_run& claim) {
        poison_.end_solo(claim);
        send_heartbeats();
    };
    hooks.grounds = [this](const suspected_work& work, time_point now) {
        return poison_.grounds(work, now);
    };
    hooks.agent_lost = [this](const lost_run& run, const route_target& agent,
                              time_point now) {
        on_agent_lost(run, agent, now);
    };
    hooks.engine_lost = [this](const lost_run& run, time_point now) {
        poison_.engine_lost(run, now);
        send_heartbeats();
    };
    return hooks;
}

relay_runner_hooks entry_core::runner_hooks(const std::string& service)
{
    relay_runner_hooks hooks;
    hooks.find_agent =
        [this](const std::string& upstream) -> std::optional<agent_address> {
        const auto known = routes_.members().find(upstream);
        if (!known)
            return std::nullopt;
        return address_of(*known);
    };
    hooks.dispatched = [this](const relay_request& request,
                              const std::string& upstream) {
        routes_.record_dispatch(request, upstream, clock_());
    };
    hooks.completed = [this, service](const std::string& upstream) {
        routes_.record_completion(service, upstream, clock_());
    };
    hooks.load = [this](const link::LoadReport& load) {
        routes_.update_report(load, clock_());
    };
    hooks.tokens_sent = [this](const std::string& team, std::uint64_t tokens) {
        teams_.record_output(team, tokens);
    };
    return hooks;
}

void entry_core::on_vm_list(const vm_list& list)
{
    auto& members = routes_.members();
    members.on_list(list, clock_());
    entry_count_ = members.entries().size();
    teams_.on_entries(entry_count_);
    remove_unlisted_vms(list);
    std::vector<agent_address> agents;
    for (const auto& agent : members.subset())
        agents.push_back(address_of(agent));
    links_.watch(agents);
}

/**
 * Removes the revisions of VMs that left the list, so that operators who wait
 * for a revision everywhere do not wait for them.
 */
void entry_core::remove_unlisted_vms(const vm_list& list)
{
    std::set<std::string> listed;
    for (const auto& each : list.vms)
        listed.insert(each.id);
    const std::scoped_lock lock(listed_mutex_);
    for (const auto& id : listed_) {
        if (!listed.contains(id))
            revisions_.remove(id);
    }
    listed_ = std::move(listed);
}

outcome<std::string> entry_core::query_agent(const std::string& upstream,
                                             const std::string& path,
                                             const std::string& frame,
                                             time_point deadline)
{
    const auto agent = routes_.members().find(upstream);
    if (!agent)
        return tl::unexpected(not_run(refusal_reason::no_upstream,
                                      "no upstream with this name is listed"));
    const auto answer =
        send_query(address_of(*agent), path, frame)->wait(deadline);
    if (!answer)
        return tl::unexpected(outcome_unknown(
            refusal_reason::agent_lost, "the agent did not answer in time"));
    return *answer;
}

std::shared_ptr<agent_query> entry_core::send_query(const agent_address& agent,
                                                    const std::string& path,
                                                    const std::string& frame)
{
    auto query = std::make_shared<agent_query>();
    query->set_stream(links_.open(agent, path, frame, query->handlers()));
    return query;
}

void entry_core::collect_entry_revisions(time_point deadline)
{
    // Each entry sends heartbeats to many agents, so a few agents, spread over
    // all services, know every entry. Querying all agents would transfer
    // megabytes per call.
    std::vector<std::shared_ptr<agent_query>> queries;
    const auto agents = routes_.members().subset();
    const auto stride =
        std::max<std::size_t>(1, agents.size() / min_agents_queried);
    for (std::size_t i = 0; i < agents.size(); i += stride)
        queries.push_back(send_query(address_of(agents[i]), "/revisions", {}));
    for (const auto& query : queries) {
        v1::ListRevisionsResponse response;
        const auto answer = query->wait(deadline);
        if (!answer || !read_checked(*answer, response))
            continue;
        for (const auto& row : response.processes())
            revisions_.record(
                {row.process(), process_role::entry, row.failure_domain()},
                row.revision(), clock_() - milliseconds(row.heard_ms_ago()));
    }
}

link::Heartbeat entry_core::make_heartbeat(const std::string& upstream)
{
    link::Heartbeat heartbeat;
    heartbeat.set_entry(settings_.name);
    heartbeat.set_failure_domain(settings_.routes.own_failure_domain);
    heartbeat.set_config_revision(configuration_.revision());
    const auto known = agent_states_.with(
        upstream, [&](agent_state_map& states) { return states[upstream]; });
    heartbeat.set_known_change(known.load_change);
    heartbeat.set_known_revision(known.revision);
    heartbeat.set_wait_ms(
        static_cast<std::uint64_t>(heartbeat_wait(known).count()));
    if (configuration_.ready() && should_send_configuration(upstream, known))
        heartbeat.set_config_delta(
            configuration_.delta_after(known.revision).SerializeAsString());
    poison_.write_marks(upstream, heartbeat, clock_());
    return heartbeat;
}

milliseconds entry_core::heartbeat_wait(const agent_state& known) const
{
    if (!known.has_replied)
        return milliseconds(0);
    return known.revision == 0 ? new_agent_wait : settings_.heartbeat_interval;
}

/**
 * Guards against a thundering herd when an agent or an entry starts: if each
 * entry sent the whole configuration to each agent that has none, the start of
 * one agent would cost a hundred copies with a hundred entries. A few entries
 * send it at once; the others send it only if the agent still has none after
 * several replies.
 */
bool entry_core::should_send_configuration(const std::string& upstream,
                                           const agent_state& known) const
{
    if (!known.has_replied || known.revision >= configuration_.revision())
        return false;
    if (known.revision > 0 || known.empty_replies >= max_empty_replies)
        return true;
    const auto hash = hash64(settings_.name, hash64(upstream));
    return hash % std::max<std::size_t>(1, entry_count_) <
           first_configuration_senders;
}

void entry_core::on_heartbeat(const std::string& upstream,
                              const link::HeartbeatReply& reply)
{
    const auto now = clock_();
    routes_.members().on_connected(upstream);
    routes_.update_report(reply.load(), now);
    poison_.read_marks(upstream, reply, now);
    agent_states_.with(upstream, [&](agent_state_map& states) {
        auto& state = states[upstream];
        state.has_replied = true;
        state.load_change = reply.load_change();
        state.revision = reply.config_revision();
        state.empty_replies = state.revision == 0 ? state.empty_replies + 1 : 0;
    });
    const auto agent = routes_.members().find(upstream);
    if (agent)
        revisions_.record(
            {upstream, process_role::agent, agent->failure_domain},
            reply.config_revision(), now);
}

void entry_core::on_link_failure(const std::string& upstream,
                                 link_failure failure)
{
    log_event(
        log_severity::info, log_event_name::link_closed,
        {{log_key::upstream, upstream}, {log_key::reason, name_of(failure)}});
    const auto now = clock_();
    // One event counts as one failure signal. If a lost connection also
    // counted as a missed heartbeat, an agent would become a suspect whenever
    // its connection breaks once. A failed reconnect is the second signal.
    const bool was_connected = failure == link_failure::connection_lost ||
                               failure == link_failure::reset_by_peer;
    if (was_connected)
        routes_.members().on_connection_lost(upstream, now);
    else
        routes_.members().on_missed_heartbeat(upstream, now);
}

void entry_core::on_agent_lost(const lost_run& run, const route_target& agent,
                               time_point now)
{
    routes_.members().on_failure(agent.upstream, now);
    const auto known = routes_.members().find(agent.upstream);
    // A request is not marked if the loss has another cause: the VM was
    // already leaving, or its whole failure domain is cut off.
    const bool explained = !known ||
                           known->state == upstream_condition::leaving ||
                           known->state == upstream_condition::gone ||
                           routes_.members().is_cut_off(known->failure_domain);
    if (explained)
        return;
    poison_.agent_lost(run, agent, now);
    log_event(log_severity::warning, log_event_name::poison_marked,
              {{log_key::upstream, agent.upstream},
               {log_key::incarnation, agent.incarnation}});
    send_heartbeats();
}

/**
 * Does not wait for the heartbeat interval: a caller whose request crashed an
 * upstream retries at once through another entry, which needs the poison mark
 * by then, and a configuration change must be in force everywhere within
 * seconds.
 */
void entry_core::send_heartbeats()
{
    for (const auto& agent : routes_.members().subset()) {
        auto heartbeat = make_heartbeat(agent.upstream);
        heartbeat.set_wait_ms(0);
        links_.send(address_of(agent), "/heartbeat",
                    heartbeat.SerializeAsString());
    }
}

void entry_core::log_outcome(const relay_request& request, const relay& relay,
                             const relay_result& result) const
{
    const auto upstream = relay.target().upstream;
    if (result.refused) {
        log_event(log_severity::info, log_event_name::request_refused,
                  {{log_key::request_id, request.id},
                   {log_key::team, request.team},
                   {log_key::service, request.service},
                   {log_key::upstream, upstream},
                   {log_key::attempt, result.attempts},
                   {log_key::kind, result.refused->kind},
                   {log_key::reason, result.refused->reason}});
        return;
    }
    log_event(
        log_severity::info,
        result.caller_disconnected ? log_event_name::request_cancelled
                                   : log_event_name::request_finished,
        {{log_key::request_id, request.id},
         {log_key::team, request.team},
         {log_key::service, request.service},
         {log_key::upstream, upstream},
         {log_key::attempt, result.attempts},
         {log_key::tokens, result.tokens},
         {log_key::generation, relay.generation().value_or(generation_id{})}});
}

} // namespace cyclamenrun

#ifndef CYCLAMENRUN_ENTRY_CORE_HPP
#define CYCLAMENRUN_ENTRY_CORE_HPP

#include "agent_links.hpp"
#include "caller_request.hpp"
#include "clock.hpp"
#include "configuration_revisions.hpp"
#include "configuration_store.hpp"
#include "metrics.hpp"
#include "poison_mark_sync.hpp"
#include "relay.hpp"
#include "relay_runner.hpp"
#include "route_table.hpp"
#include "sharded.hpp"
#include "team_registry.hpp"
#include "ticket_authority.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenrun
{

class agent_query;
class caller_writer;
class link_loop;

/** Settings of an entry_core. */
struct entry_core_settings {
    std::string name;
    std::string link_key;
    route_table_settings routes;
    relay_settings relay;
    caller_limits limits;
    double retry_share = 0.1; ///< retries that a team earns by each request
    milliseconds heartbeat_interval{5'000};
    milliseconds ticket_lifetime{600'000};
    std::size_t poison_capacity = 4096;
    milliseconds poison_mark_lifetime{3'600'000};
};

/** The caller's team and the configuration used for the whole request. */
struct caller_session {
    configuration_store::view_pointer view;
    const v1::Team* team = nullptr; ///< valid as long as the view
};

/**
 * The state and decisions of an entry, independent of HTTP. All state is a
 * cache, so any entry can serve any caller at any time.
 */
class entry_core
{
public:
    entry_core(const entry_core_settings& settings,
               const std::vector<std::shared_ptr<link_loop>>& loops,
               clock_function clock);
    entry_core(const entry_core&) = delete;
    entry_core& operator=(const entry_core&) = delete;
    ~entry_core();

    /** Identifies the caller's team by the value of `Authorization`. */
    outcome<caller_session>
    authenticate(const std::string& authorization) const;
    /** The current configuration of a service, if the team may use it. */
    outcome<const v1::Service*> service(const caller_session& caller,
                                        const std::string& name) const;
    /** Runs the request to completion on the calling thread. */
    relay_result serve(const caller_session& caller, relay_request request,
                       caller_writer& writer);
    /** Chooses an upstream and makes a ticket for one call to it. */
    outcome<link::Ticket> mint_ticket(const caller_session& caller,
                                      const v1::Service& service);

    /** Updates the known agents and entries, and the agents to watch. */
    void on_vm_list(const vm_list& list);
    /** Sends one message to an agent and waits for its answer. */
    outcome<std::string> query_agent(const std::string& upstream,
                                     const std::string& path,
                                     const std::string& frame,
                                     time_point deadline);

    /** Queries agents of the subset for the revisions in force at entries. */
    void collect_entry_revisions(time_point deadline);

    /**
     * Reports not ready, so that the load balancer sends no more requests.
     * Requests are still served.
     */
    void mark_not_ready() { stopping_ = true; }
    /** Refuses new work; running requests continue. */
    void start_draining() { draining_ = true; }
    bool ready() const { return !stopping_ && configuration_.ready(); }
    bool stopping() const { return stopping_; }

    /** Counts a caller's request from its head until it was handled. */
    class request_count
    {
    public:
        explicit request_count(entry_core& core) : core_(core)
        {
            ++core_.handled_;
        }
        ~request_count() { --core_.handled_; }
        request_count(const request_count&) = delete;
        request_count& operator=(const request_count&) = delete;

    private:
        entry_core& core_;
    };
    /** Requests that are being read, served or refused. */
    int handled_requests() const { return handled_; }
    /** Requests that were admitted and have no whole answer yet. */
    int active_requests() const { return active_; }

    configuration_store& configuration() { return configuration_; }
    const configuration_revisions& revisions() const { return revisions_; }
    route_table& routes() { return routes_; }
    metrics& measurements() { return metrics_; }
    const entry_core_settings& settings() const { return settings_; }
    const poison_mark_sync& poison() const { return poison_; }
    time_point now() const { return clock_(); }

private:
    /** The state that an agent reported in its last heartbeat reply. */
    struct agent_state {
        std::uint64_t load_change = 0;
        std::uint64_t revision = 0;
        int empty_replies = 0; ///< consecutive, without a configuration
        bool has_replied = false;
    };
    using agent_state_map = std::unordered_map<std::string, agent_state>;

    relay_hooks relay_hooks_for(const caller_session& caller);
    relay_runner_hooks runner_hooks(const std::string& service);
    std::shared_ptr<agent_query> send_query(const agent_address& agent,
                                            const std::string& path,
                                            const std::string& frame);
    link::Heartbeat make_heartbeat(const std::string& upstream);
    /** How long an agent without changes may delay its heartbeat reply. */
    milliseconds heartbeat_wait(const agent_state& known) const;
    bool should_send_configuration(const std::string& upstream,
                                   const agent_state& known) const;
    void remove_unlisted_vms(const vm_list& list);
    void on_heartbeat(const std::string& upstream,
                      const link::HeartbeatReply& reply);
    void on_link_failure(const std::string& upstream, link_failure failure);
    void on_agent_lost(const lost_run& run, const route_target& agent,
                       time_point now);
    /** Sends each agent of the subset a heartbeat with all unsent changes. */
    void send_heartbeats();
    void log_outcome(const relay_request& request, const relay& relay,
                     const relay_result& result) const;

    entry_core_settings settings_;
    clock_function clock_;
    configuration_store configuration_;
    configuration_revisions revisions_;
    team_registry teams_;
    route_table routes_;
    poison_mark_sync poison_;
    ticket_authority tickets_;
    sharded<agent_state_map> agent_states_;
    metrics metrics_;
    std::atomic<std::size_t> entry_count_ = 1; ///< in the last VM list
    std::mutex listed_mutex_;
    std::set<std::string> listed_; ///< ids in the last VM list
    std::atomic<bool> stopping_ = false;
    std::atomic<bool> draining_ = false;
    std::atomic<int> active_ = 0;
    std::atomic<int> handled_ = 0;
    agent_links links_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ENTRY_CORE_HPP

#ifndef CYCLAMENRUN_TESTS_DEPLOYMENT_HPP
#define CYCLAMENRUN_TESTS_DEPLOYMENT_HPP

#include "../support/caller_stream.hpp"
#include "../support/child_process.hpp"
#include "../support/stand_in_process.hpp"
#include "../support/tcp_relay.hpp"

#include <Poco/TemporaryFile.h>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cyclamenrun::testing_support
{

constexpr auto model_service = "redactor";
constexpr auto application_service = "registro";

/** An upstream, its agent, and the links on both sides of the agent. */
struct upstream_processes {
    std::string name;
    std::string service;
    std::unique_ptr<stand_in_process> back_end; ///< engine or runner
    std::unique_ptr<tcp_relay> back_end_link;   ///< agent to back end
    std::unique_ptr<child_process> agent;
    std::unique_ptr<tcp_relay> agent_link; ///< entries to agent
};

/** An entry and the addresses on which it listens. */
struct entry_process {
    std::string name;
    std::unique_ptr<child_process> process;
    std::string operator_address; ///< of the operator API
    std::string address;          ///< for callers
};

/** Polls `condition` until it is true; returns false after 30 s. */
bool wait_until(const std::function<bool()>& condition);

/**
 * A complete system of processes on loopback: a platform stand-in, upstreams
 * with their agents, and entries, with a configuration of one team.
 */
class deployment
{
public:
    deployment();

    upstream_processes& add_model(const std::string& name,
                                  std::vector<std::string> options = {});
    upstream_processes& add_runner(const std::string& name,
                                   std::vector<std::string> options = {});
    entry_process& add_entry(const std::string& name);

    /** Starts a new agent in place of the old one, which must have ended. */
    void restart_agent(upstream_processes& upstream);
    /** Starts a new engine or runner; the old one must have ended. */
    void restart_back_end(upstream_processes& upstream,
                          std::vector<std::string> options = {});

    /**
     * Applies the configuration as soon as the first entry is ready, then waits
     * until every entry is ready and sees every upstream as live.
     */
    void wait_until_ready();

    /** Lists a VM on the platform, or updates it; `state`: live or leaving. */
    void list_vm(const std::string& id, const std::string& address,
                 const std::string& service,
                 const std::string& state = "live") const;

    /** Whether the entry has read a configuration and is not draining. */
    static bool is_ready(const entry_process& entry);

    /** Runs `cyclamenrunctl` with `command`. Returns its exit status. */
    int run_ctl(const std::vector<std::string>& command) const;
    /** Returns the state of an upstream as this entry sees it. */
    std::string state_at(const entry_process& entry,
                         const std::string& upstream) const;

    /** A request with the team's key. */
    http_request caller_request(const std::string& method,
                                const std::string& path,
                                const std::string& body) const;
    /** Starts a generation with an answer of `output_tokens` tokens. */
    caller_stream generate(const entry_process& entry,
                           const std::string& prompt,
                           std::uint64_t output_tokens) const;
    /** Sends a request that crashes each engine that runs it. */
    std::optional<http_answer>
    send_poison_request(const entry_process& entry) const;
    /** Resumes a generation after the event `last_event_id`. */
    caller_stream resume(const entry_process& entry,
                         const std::string& last_event_id) const;
    /**
     * Sends a call whose deadline is `time_limit` from now, with a ticket, or
     * none if `ticket` is empty. Returns the answer; empty if the entry does
     * not answer.
     */
    std::optional<http_answer> call(const entry_process& entry,
                                    const std::string& ticket,
                                    milliseconds time_limit = test_limit) const;
    /** Requests a new ticket; empty if the entry does not issue one. */
    std::string request_ticket(const entry_process& entry) const;

    stand_in_process& platform() { return platform_; }
    upstream_processes& upstream(std::size_t at) { return *upstreams_.at(at); }
    entry_process& entry(std::size_t at) { return *entries_.at(at); }

    /**
     * Waits until an engine or runner has recorded an event of this kind;
     * returns its upstream.
     */
    upstream_processes& wait_for_event(const std::string& kind);
    /** Counts the events of this kind that all engines and runners recorded. */
    std::size_t count_events(const std::string& kind) const;

private:
    upstream_processes& add_upstream(const std::string& name,
                                     const std::string& service,
                                     const std::string& stand_in,
                                     std::vector<std::string> options);
    void start_agent(upstream_processes& upstream);
    std::string write_file(const std::string& name, const std::string& text);
    std::string common_settings(const std::string& name) const;
    Poco::TemporaryFile folder_;
    std::string team_key_;
    std::string operator_key_;
    std::string operator_hash_;
    stand_in_process platform_;
    std::vector<std::unique_ptr<upstream_processes>> upstreams_;
    std::vector<std::unique_ptr<entry_process>> entries_;
};

} // namespace cyclamenrun::testing_support

#endif // CYCLAMENRUN_TESTS_DEPLOYMENT_HPP

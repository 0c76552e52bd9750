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

/** An upstream, its agent, and the links on either side of the agent. */
struct upstream_processes {
    std::string name;
    std::string service;
    std::unique_ptr<stand_in_process> back_end;
    std::unique_ptr<tcp_relay> back_end_link; ///< from the agent
    std::unique_ptr<child_process> agent;
    std::unique_ptr<tcp_relay> agent_link; ///< from the entries
};

struct entry_processes {
    std::string name;
    std::unique_ptr<child_process> process;
    std::string operators;
    std::string address;
};

/** Repeats `condition` with short pauses; false after a generous limit. */
bool wait_until(const std::function<bool()>& condition);

/**
 * The system as its processes on loopback: a platform, upstreams with their
 * agents, and entries, under a configuration with one team.
 */
class deployment
{
public:
    deployment();

    upstream_processes& add_model(const std::string& name,
                                  std::vector<std::string> options = {});
    upstream_processes& add_runner(const std::string& name,
                                   std::vector<std::string> options = {});
    entry_processes& add_entry(const std::string& name);

    /** A new process in the place of the old one, which must have ended. */
    void restart_agent(upstream_processes& upstream);
    void restart_back_end(upstream_processes& upstream,
                          std::vector<std::string> options = {});

    /** Publishes the configuration and waits until it serves everywhere. */
    void wait_until_ready();

    /** Puts a VM on the platform's list: live or leaving. */
    void list_vm(const std::string& id, const std::string& address,
                 const std::string& service,
                 const std::string& state = "live") const;

    /** Whether the entry has read a configuration and is not draining. */
    static bool is_ready(const entry_processes& entry);

    /** The status with which `cyclamenrunctl` ends. */
    int operate(const std::vector<std::string>& command) const;
    /** The state of an upstream as this entry sees it. */
    std::string state_at(const entry_processes& entry,
                         const std::string& upstream) const;

    /** A generation whose answer has so many tokens. */
    caller_stream generate(const entry_processes& entry,
                           const std::string& prompt,
                           std::uint64_t output_tokens) const;
    /** A whole answer to a request that ends each engine that runs it. */
    std::optional<http_answer> crash(const entry_processes& entry) const;
    /** The rest of a generation, through any entry. */
    caller_stream resume(const entry_processes& entry,
                         const std::string& last_event_id) const;
    /** Empty if the entry did not answer. */
    std::optional<http_answer> call(const entry_processes& entry,
                                    const std::string& ticket,
                                    milliseconds limit = test_limit) const;
    std::string ticket(const entry_processes& entry) const;

    stand_in_process& platform() { return platform_; }
    upstream_processes& upstream(std::size_t at) { return *upstreams_.at(at); }
    entry_processes& entry(std::size_t at) { return *entries_.at(at); }

    /** The upstream whose history has such an event first. */
    upstream_processes& wait_for_event(const std::string& kind);
    /** How many such events all upstreams have. */
    std::size_t count_events(const std::string& kind) const;

private:
    upstream_processes& add_upstream(const std::string& name,
                                     const std::string& service,
                                     const std::string& stand_in,
                                     std::vector<std::string> options);
    void start_agent(upstream_processes& upstream);
    std::string write_file(const std::string& name, const std::string& text);
    std::string common_settings(const std::string& name) const;
    http_request caller_request(const std::string& method,
                                const std::string& path,
                                const std::string& body) const;

    Poco::TemporaryFile folder_;
    std::string team_key_;
    std::string operator_key_;
    std::string operator_hash_;
    stand_in_process platform_;
    std::vector<std::unique_ptr<upstream_processes>> upstreams_;
    std::vector<std::unique_ptr<entry_processes>> entries_;
};

} // namespace cyclamenrun::testing_support

#endif // CYCLAMENRUN_TESTS_DEPLOYMENT_HPP

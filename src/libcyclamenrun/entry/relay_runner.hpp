#ifndef CYCLAMENRUN_RELAY_RUNNER_HPP
#define CYCLAMENRUN_RELAY_RUNNER_HPP

#include "clock.hpp"
#include "relay.hpp"
#include "relay_mailbox.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace cyclamenrun
{

class agent_links;
class caller_writer;
class client_stream;
struct agent_address;

/** Callbacks for finding agents and for reporting a request's progress. */
struct relay_runner_hooks {
    /** Returns an agent's address, or nothing if the agent is not known. */
    std::function<std::optional<agent_address>(const std::string& upstream)>
        find_agent;
    /** Called when a request is sent to an upstream. */
    std::function<void(const relay_request& request,
                       const std::string& upstream)>
        dispatched;
    /** Called when a request no longer counts towards an upstream's load. */
    std::function<void(const std::string& upstream)> completed;
    /** Called for each load report that an agent sends with an answer. */
    std::function<void(const link::LoadReport& load)> load;
    /** Called with the number of tokens sent to a caller of the team. */
    std::function<void(const std::string& team, std::uint64_t tokens)>
        tokens_sent;
};

/** The result of a request, for logs and metrics. */
struct relay_result {
    bool complete = false;
    bool caller_disconnected = false;
    std::optional<refusal> refused;
    std::uint64_t tokens = 0;
    int attempts = 0;
    std::optional<time_point> first_token_at;
};

/**
 * Runs a relay on the calling thread: performs the relay's actions and passes
 * it the events of the links, the clock and the caller until it is done.
 */
class relay_runner
{
public:
    relay_runner(agent_links& links, relay_runner_hooks hooks,
                 clock_function clock);

    relay_result run(relay& relay, caller_writer& writer);

private:
    struct run_state {
        cyclamenrun::relay& relay;
        caller_writer& writer;
        std::shared_ptr<relay_mailbox> mailbox;
        std::map<stream_number, std::shared_ptr<client_stream>> streams;
        /** Upstream whose load includes the request; empty: none. */
        std::string dispatched_to;
        relay_result result;
    };

    void perform(run_state& state, const relay_actions& actions);
    void perform(run_state& state, const open_stream& action);
    void perform(run_state& state, const close_stream& action);
    void perform(run_state& state, const send_message& action);
    void perform(run_state& state, const write_tokens& action);
    void perform(run_state& state, const write_end& action);
    void perform(run_state& state, const write_answer& action);
    void perform(run_state& state, const write_refusal& action);
    void handle_event(run_state& state, const relay_event& event);
    void record_completion(run_state& state);

    agent_links& links_;
    relay_runner_hooks hooks_;
    clock_function clock_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_RELAY_RUNNER_HPP

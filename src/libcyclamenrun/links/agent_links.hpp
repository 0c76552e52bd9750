#ifndef CYCLAMENRUN_AGENT_LINKS_HPP
#define CYCLAMENRUN_AGENT_LINKS_HPP

#include "client_stream.hpp"
#include "clock.hpp"
#include "link.pb.h"
#include "link_limits.hpp"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenrun
{

class link_client;
class link_loop;

/** Address of an agent and the upstream it serves. */
struct agent_address {
    std::string upstream;
    std::string address; ///< IP:PORT

    bool operator==(const agent_address&) const = default;
};

/** Callbacks for heartbeats, called on loop threads. */
struct agent_links_hooks {
    std::function<link::Heartbeat(const std::string& upstream)> make_heartbeat;
    std::function<void(const std::string& upstream,
                       const link::HeartbeatReply& reply)>
        on_reply;
    std::function<void(const std::string& upstream, link_failure failure)>
        on_failure;
};

/**
 * An entry's links to agents. Exchanges heartbeats with each watched agent.
 * The agent delays its reply until its state changes or the heartbeat interval
 * has passed, so a link without changes carries one small exchange per
 * interval. Connections to other agents are made when a stream is opened.
 */
class agent_links
{
public:
    agent_links(std::vector<std::shared_ptr<link_loop>> loops,
                std::string link_key, const link_limits& limits,
                agent_links_hooks hooks, clock_function clock);
    agent_links(const agent_links&) = delete;
    agent_links& operator=(const agent_links&) = delete;
    ~agent_links();

    /** Replaces the set of agents that heartbeats are exchanged with. */
    void watch(const std::vector<agent_address>& agents);

    /**
     * Opens a stream to any agent and sends `frame` as the request. Returns
     * null after close().
     */
    std::shared_ptr<client_stream> open(const agent_address& agent,
                                        const std::string& path,
                                        const std::string& frame,
                                        client_handlers handlers);
    /** Sends one message and ignores its answer and any failure. */
    void send(const agent_address& agent, const std::string& path,
              const std::string& frame);
    /** Cancels all streams and ends the heartbeats. */
    void close();

private:
    class shared_state;
    std::vector<std::shared_ptr<link_loop>> loops_;
    std::shared_ptr<shared_state> state_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_AGENT_LINKS_HPP

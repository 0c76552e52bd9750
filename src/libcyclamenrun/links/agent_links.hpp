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

/** Where an agent is reached. */
struct agent_address {
    std::string upstream;
    std::string address; ///< IP:PORT

    bool operator==(const agent_address&) const = default;
};

/** What the links tell the entry; called on loop threads. */
struct agent_links_hooks {
    std::function<link::Heartbeat(const std::string& upstream)> request;
    std::function<void(const std::string& upstream,
                       const link::HeartbeatReply& reply)>
        reply;
    std::function<void(const std::string& upstream, link_failure failure)>
        failure;
};

/**
 * An entry's links to agents. Keeps a heartbeat going with each agent that is
 * watched: the agent holds the answer back until it has news, so a quiet link
 * carries one small exchange an interval. Other agents are linked when
 * something is opened to them.
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

    /** Keeps heartbeats with these agents and no others. */
    void watch(const std::vector<agent_address>& agents);

    std::shared_ptr<client_stream> open(const agent_address& agent,
                                        const std::string& path,
                                        const std::string& frame,
                                        client_handlers handlers);
    /** Sends one message; what comes of it matters to nobody. */
    void send(const agent_address& agent, const std::string& path,
              const std::string& frame);
    void close();

private:
    class shared_state;
    std::vector<std::shared_ptr<link_loop>> loops_;
    std::shared_ptr<shared_state> state_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_AGENT_LINKS_HPP

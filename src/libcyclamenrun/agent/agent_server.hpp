#ifndef CYCLAMENRUN_AGENT_SERVER_HPP
#define CYCLAMENRUN_AGENT_SERVER_HPP

#include "clock.hpp"
#include "configuration_revisions.hpp"
#include "gate.hpp"
#include "link_limits.hpp"

#include <Poco/Net/SocketAddress.h>
#include <functional>
#include <future>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace cyclamenrun
{

class link_loop;
class link_server;
class server_stream;

/** What an agent answers beside what its gate knows. */
struct agent_server_hooks {
    /** The state of the whole process as JSON. */
    std::function<std::string()> dump;
    /** Takes configuration from an entry's heartbeat. */
    std::function<void(const link::Heartbeat&)> configuration;
    /** The configuration's revision that is in force here. */
    std::function<std::uint64_t()> revision;
    /** The whole configuration in force, for an entry that has none. */
    std::function<std::string()> state;
};

/**
 * Serves the gate of an upstream to entries, over links.
 *
 * A heartbeat is answered when there is news or its time is up, so entries
 * hear at once of a drain, a lost engine or a mark, and a quiet agent costs
 * one small exchange an interval.
 */
class agent_server
{
public:
    agent_server(link_loop& loop, const Poco::Net::SocketAddress& address,
                 const std::string& link_key, const link_limits& limits,
                 gate& gate, agent_server_hooks hooks, clock_function clock);
    agent_server(const agent_server&) = delete;
    agent_server& operator=(const agent_server&) = delete;
    ~agent_server();

    Poco::Net::SocketAddress address() const;
    void stop_accepting();

    /** The gate's hooks call these. */
    void wake(reader_id reader);
    void news();

private:
    using stream_pointer = std::shared_ptr<server_stream>;

    struct pending_heartbeat {
        stream_pointer stream;
        link::Heartbeat request;
        time_point deadline;
    };

    void handle(const stream_pointer& stream);
    void dispatch(const stream_pointer& stream);
    void resume(const stream_pointer& stream);
    void cancel(const stream_pointer& stream);
    void acknowledge(const stream_pointer& stream);
    void heartbeat(const stream_pointer& stream);
    void drain(const stream_pointer& stream);
    void serve_reader(const stream_pointer& stream,
                      const std::string& request_id,
                      const outcome<reader_id>& reader);
    void answer_heartbeats();
    bool has_news(const link::Heartbeat& request) const;
    link::HeartbeatReply reply_to(const link::Heartbeat& request) const;
    /** The revisions in force at the entries that beat with this agent. */
    std::string entry_revisions() const;
    void schedule_tick();

    link_loop& loop_;
    gate& gate_;
    agent_server_hooks hooks_;
    clock_function clock_;

    std::mutex mutex_;
    std::unordered_map<reader_id, std::weak_ptr<server_stream>> streams_;
    std::list<pending_heartbeat> heartbeats_;
    configuration_revisions entries_;

    /** Timers on the loop outlive this object; they look here first. */
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::unique_ptr<link_server> server_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_AGENT_SERVER_HPP

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

/** Callbacks for requests that concern the process and not the gate. */
struct agent_server_hooks {
    /** Returns the state of the whole process as JSON. */
    std::function<std::string()> dump;
    /** Applies the configuration delta in an entry's heartbeat. */
    std::function<void(const link::Heartbeat&)> apply_configuration;
    /** Returns the configuration revision in force in this process. */
    std::function<std::uint64_t()> configuration_revision;
    /** Returns the whole configuration, for an entry that has none. */
    std::function<std::string()> configuration_state;
};

/**
 * Serves the gate of an upstream to entries over links.
 *
 * Heartbeats are long polls: the agent replies when its state changes or when
 * the requested wait ends. Entries therefore learn of a drain, a lost engine
 * or a poison mark at once, and an agent without changes costs one small
 * exchange per heartbeat interval.
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

    /** Called by the gate when a reader has frames to pull. */
    void wake(reader_id reader);
    /** Called by the gate when its load or poison marks change. */
    void on_state_changed();

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
    /** Replies to the heartbeats whose wait has ended or that have changes. */
    void answer_heartbeats();
    bool has_changes(const link::Heartbeat& request) const;
    link::HeartbeatReply reply_to(const link::Heartbeat& request) const;
    /** Revisions in force at the entries that send heartbeats to this agent. */
    std::string entry_revisions() const;
    void schedule_tick();

    link_loop& loop_;
    gate& gate_;
    agent_server_hooks hooks_;
    clock_function clock_;

    std::mutex mutex_;
    std::unordered_map<reader_id, std::weak_ptr<server_stream>> streams_;
    std::list<pending_heartbeat> heartbeats_;
    configuration_revisions entry_revisions_;

    /** Checked by timer callbacks, since they can outlive this object. */
    duration missed_{0}; ///< by the loop, as of the last tick
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::unique_ptr<link_server> server_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_AGENT_SERVER_HPP

#ifndef CYCLAMENRUN_MONITOR_LINK_HPP
#define CYCLAMENRUN_MONITOR_LINK_HPP

#include "datagram_socket.hpp"
#include "engine_load_estimate.hpp"
#include "gateway_count_hooks.hpp"
#include "upstream_record.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace cyclamenrun::v1
{
class EngineIdentity;
class EngineLoad;
class MonitorNotice;
class MonitorRequest;
class StartGiven;
class StartWaits;
} // namespace cyclamenrun::v1

namespace cyclamenrun
{

/** Why a monitor does not grant a start yet. */
enum class start_denial : std::uint8_t {
    no_room,
    passed_over, ///< late, and teams that hold less memory are waiting
    refused,     ///< the engine leaves
};

/**
 * The gateway's side of the datagram protocol with the monitors of engines. It
 * renews load subscriptions at some monitors, and requests start grants and
 * copy turns from any of them.
 *
 * A gateway subscribes only to the engines at which its own requests run, and
 * to those that may read the directory for it. If each monitor sent its load to
 * each gateway, the traffic would grow with both numbers, and with a hundred
 * gateways each one would receive a load only every 0.8 s.
 */
class monitor_link : public std::enable_shared_from_this<monitor_link>
{
public:
    struct hooks {
        /** Load of an engine, as reported by its monitor. */
        std::function<void(const ip_endpoint& engine, const engine_load&)> load;
        /** Id of the engine that currently responds at an address. */
        std::function<void(const ip_endpoint& engine, const std::string& id)>
            identity;
        /** The same engine is still cold for that time; may be empty. */
        std::function<void(const ip_endpoint& engine, const std::string& id,
                           milliseconds left)>
            cold = {};
        /** Number of gateways that the monitors know. */
        std::function<void(unsigned)> gateways;
        /** Told to monitors, which tell it to gateways that start. */
        gateway_count_hooks gateway_counts;
        /** IP addresses of the VMs whose engines' loads are subscribed to. */
        std::function<std::set<std::string>()> hosts;
        /** HTTP target at which engines report their id; empty: unknown. */
        std::function<std::string()> health_target;
    };

    /**
     * Monitors listen at `monitor_port` of the engines' VMs. `name` identifies
     * this gateway in requests.
     */
    monitor_link(std::shared_ptr<link_reactor> reactor,
                 const ip_endpoint& listen, std::uint16_t monitor_port,
                 std::string name, hooks on);

    void start();

    /** Request for a copy turn at the network link of a host's engine. */
    struct copy_request {
        std::string host;
        std::string id;           ///< of the copy turn
        std::uint64_t tokens = 0; ///< of memory to copy
        bool into = false;        ///< true: into that engine, false: from it
    };
    struct turn_hooks {
        /**
         * Called also if the monitor does not respond, since a copy that shares
         * the link is better than none.
         */
        std::function<void()> granted;
        /** Called for a copy into an engine that leaves or has no room. */
        std::function<void()> refused;
    };
    /**
     * Requests a copy turn. Repeats the request until the monitor grants or
     * refuses it or times out, then calls one of the hooks once.
     */
    void request_turn(const copy_request& copy, turn_hooks on);
    /** Releases the turn of a copy that has ended or was cancelled. */
    void end_turn(const std::string& id);

    struct start_hooks {
        /** The generation may start at the engine on that host. */
        std::function<void(const std::string& host, const engine_occupancy&)>
            granted;
        /** The monitor responds, but does not grant the start yet. */
        std::function<void(const std::string& host, start_denial)> waits;
    };
    /**
     * Passes the monitors' replies to start requests with this id to the hooks
     * until unwatch_start().
     */
    void watch_start(const std::string& id, start_hooks on);
    void unwatch_start(const std::string& id) { starts_.erase(id); }
    /**
     * Sends one start request to the monitor on that host. `slots`: of the
     * engine, as the directory lists it.
     */
    void request_start(const std::string& host, const start_request& wanted,
                       unsigned slots);
    /** Withdraws a start request, or returns a grant that is not used. */
    void end_start(const std::string& host, const std::string& id);

    /**
     * Records events of an engine's streams that were relayed, and the time
     * before them. Its monitor is told by the next renewal of the subscription.
     */
    void record_events(const std::string& host, std::uint64_t events,
                       milliseconds time);

    /** True if the monitor on that host has responded and has not timed out. */
    bool is_responding(const std::string& host) const;
    /** True if the monitor on that host has timed out. */
    bool has_timed_out(const std::string& host) const;
    /** True if no monitor has responded for three seconds. */
    bool no_monitor_responds() const;

private:
    struct pending_turn {
        copy_request copy;
        turn_hooks on; ///< empty after the turn was granted
        /** Awake time; of the monitor, initially the time of the request. */
        time_point last_response_at;
    };

    /** State of the monitor on a host with a load subscription. */
    struct monitor_state {
        /** Awake time; initially the time of the subscription. */
        time_point last_response_at;
        bool has_responded = false;
        bool timed_out = false;
        unsigned gateways = 0; ///< number of gateways known to the monitor
        std::uint64_t relayed_events = 0; ///< not yet told to the monitor
        milliseconds relayed_time{0};     ///< between them
    };

    void subscribe_to_loads();
    void renew_subscription(const std::string& host, monitor_state& monitor,
                            v1::MonitorRequest& request);
    void check_monitor_timeout(const std::string& host, monitor_state& monitor);
    void record_response(const std::string& host);
    void send_turn_request(const std::string& id);
    void grant_turn(const std::string& id);
    void refuse_turn(const std::string& id);
    void handle_load(const v1::EngineLoad& message);
    void update_gateway_count(const std::string& host, unsigned count);
    void handle_start_grant(const std::string& host,
                            const v1::StartGiven& notice);
    void handle_start_wait(const std::string& host,
                           const v1::StartWaits& notice);
    void handle_identity(const std::string& host,
                         const v1::EngineIdentity& engine);
    void handle_datagram(const ip_endpoint& from, std::string_view bytes);
    void send(const std::string& host, const v1::MonitorRequest& request);

    std::shared_ptr<link_reactor> reactor_;
    std::shared_ptr<datagram_socket> socket_;
    std::uint16_t monitor_port_;
    std::string name_;
    hooks on_;
    std::map<std::string, monitor_state> monitors_;
    time_point renew_all_at_{};
    time_point last_response_at_{}; ///< awake time, of any monitor
    std::unordered_map<std::string, pending_turn> turns_;
    std::unordered_map<std::string, start_hooks> starts_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_MONITOR_LINK_HPP

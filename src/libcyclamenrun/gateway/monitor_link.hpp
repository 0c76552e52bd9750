#ifndef CYCLAMENRUN_MONITOR_LINK_HPP
#define CYCLAMENRUN_MONITOR_LINK_HPP

#include "datagram_socket.hpp"
#include "engine_outlook.hpp"
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

/** Why a generation may not start at an engine yet. */
enum class start_wait : std::uint8_t {
    for_room,
    passed_over, ///< It is late, and its team holds more than its part.
    refused,     ///< The engine leaves.
};

/**
 * A gateway's side of the datagrams to the monitors beside engines: it asks
 * some for their loads again and again, and any of them for starts and for
 * turns to copy generations.
 *
 * Loads are wanted of the engines at which this gateway's own requests run,
 * and of a few more: told by each engine to each gateway, they would grow with
 * both, and a gateway among a hundred would hear of each once a second.
 */
class monitor_link : public std::enable_shared_from_this<monitor_link>
{
public:
    struct hooks {
        std::function<void(const ip_endpoint& engine, const engine_load&)> load;
        /** Who answers at an engine's address now. */
        std::function<void(const ip_endpoint& engine, const std::string& id)>
            identity;
        /** How many gateways the monitors hear of. */
        std::function<void(unsigned)> gateways;
        /** IP numbers of the VMs whose engines' loads are wanted. */
        std::function<std::set<std::string>()> hosts;
        /** Where engines say who they are; empty: it is not known. */
        std::function<std::string()> health_target;
    };

    /** Monitors listen at `monitor_port` of the engines' VMs. */
    monitor_link(std::shared_ptr<link_reactor> reactor,
                 const ip_endpoint& listen, std::uint16_t monitor_port,
                 std::string name, hooks on);

    void start();

    /** A copy that wants a turn at the link of the engine on a host. */
    struct wanted_copy {
        std::string host;
        std::string id;
        std::uint64_t tokens = 0; ///< of memory to copy
        bool into = false;        ///< that engine; else from it
    };
    struct turn_hooks {
        /** Also if the monitor there does not answer, since a copy beside
         * others is better than none. */
        std::function<void()> given;
        /** Of a copy into an engine: it leaves, or has no room. */
        std::function<void()> refused;
    };
    /** Calls one of the hooks, once. */
    void want_turn(const wanted_copy& copy, turn_hooks on);
    /** The copy is done, or no longer wanted. */
    void end_turn(const std::string& id);

    struct start_hooks {
        /** It may start at the engine on that host. */
        std::function<void(const std::string& host, const given_place&)> given;
        /** Not yet. The monitor is alive. */
        std::function<void(const std::string& host, start_wait)> waits;
    };
    /** What monitors answer about a start goes there until forgotten. */
    void hear_of_start(const std::string& id, start_hooks on);
    void forget_start(const std::string& id) { starts_.erase(id); }
    /** Asks the monitor on that host once. */
    void ask_start(const std::string& host, const start_request& wanted,
                   unsigned slots);
    /** It does not wait there any more, or does not use what was given. */
    void end_start(const std::string& host, const std::string& id);

    /** The monitor on that host has spoken of late. */
    bool hears(const std::string& host) const;
    /** It was asked and says nothing. */
    bool misses(const std::string& host) const;
    /** No monitor at all has spoken for seconds. */
    bool silent() const;

private:
    struct wanted_turn {
        wanted_copy copy;
        turn_hooks on;       ///< empty once it was given
        time_point heard_at; ///< from the monitor
    };

    /** A host that was asked, and when its monitor was heard. */
    struct asked_host {
        time_point heard_at;
        bool heard = false;    ///< it has spoken at all
        bool lost = false;     ///< it says nothing any more
        unsigned gateways = 0; ///< that its monitor hears of
    };

    void ask_for_loads();
    void note_silent(const std::string& host, asked_host& asked);
    void note_heard(const std::string& host);
    void ask_for_turn(const std::string& id);
    void give(const std::string& id);
    void refuse_turn(const std::string& id);
    void take_load(const v1::EngineLoad& message);
    void note_gateways(const std::string& host, unsigned count);
    void take_start_given(const std::string& host,
                          const v1::StartGiven& notice);
    void take_start_waits(const std::string& host,
                          const v1::StartWaits& notice);
    void take_identity(const std::string& host,
                       const v1::EngineIdentity& engine);
    void take(const ip_endpoint& from, std::string_view bytes);
    void send(const std::string& host, const v1::MonitorRequest& request);

    std::shared_ptr<link_reactor> reactor_;
    std::shared_ptr<datagram_socket> socket_;
    std::uint16_t monitor_port_;
    std::string name_;
    hooks on_;
    std::map<std::string, asked_host> asked_;
    time_point ask_all_at_{};
    time_point heard_at_{}; ///< any monitor
    std::unordered_map<std::string, wanted_turn> turns_;
    std::unordered_map<std::string, start_hooks> starts_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_MONITOR_LINK_HPP

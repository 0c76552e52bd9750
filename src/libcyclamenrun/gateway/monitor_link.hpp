#ifndef CYCLAMENRUN_MONITOR_LINK_HPP
#define CYCLAMENRUN_MONITOR_LINK_HPP

#include "datagram_socket.hpp"
#include "upstream_record.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace cyclamenrun::v1
{
class MonitorNotice;
class MonitorRequest;
} // namespace cyclamenrun::v1

namespace cyclamenrun
{

/**
 * A gateway's side of the datagrams to the monitors beside engines: it asks
 * for their loads again and again, and for turns to copy generations.
 */
class monitor_link : public std::enable_shared_from_this<monitor_link>
{
public:
    struct hooks {
        std::function<void(const ip_endpoint& engine, const engine_load&)> load;
        /** How many gateways the monitors hear of. */
        std::function<void(unsigned)> gateways;
        /** IP numbers of the VMs on which engines run. */
        std::function<std::set<std::string>()> engine_hosts;
    };

    /** Monitors listen at `monitor_port` of the engines' VMs. */
    monitor_link(std::shared_ptr<link_reactor> reactor,
                 const ip_endpoint& listen, std::uint16_t monitor_port,
                 std::string name, hooks on);

    void start();

    /**
     * Calls `given` once this gateway may copy the generation from the engine
     * on that host; also if the monitor there does not answer, since a copy
     * beside others is better than none.
     */
    void want_turn(const std::string& host, const std::string& id,
                   std::uint64_t tokens, std::function<void()> given);
    /** The copy is done, or no longer wanted. */
    void end_turn(const std::string& id);

private:
    struct wanted_turn {
        std::string host;
        std::uint64_t tokens;        ///< of memory to copy
        std::function<void()> given; ///< empty once it was given
        time_point heard_at;         ///< from the monitor
    };

    /** A host that was asked, and when its monitor was heard. */
    struct asked_host {
        time_point heard_at;
        bool lost = false; ///< it says nothing any more
    };

    void ask_for_loads();
    void note_silent(const std::string& host, asked_host& asked);
    void note_heard(const std::string& host);
    void ask_for_turn(const std::string& id);
    void give(const std::string& id);
    void take(const ip_endpoint& from, std::string_view bytes);
    void send(const std::string& host, const v1::MonitorRequest& request);

    std::shared_ptr<link_reactor> reactor_;
    std::shared_ptr<datagram_socket> socket_;
    std::uint16_t monitor_port_;
    std::string name_;
    hooks on_;
    std::map<std::string, asked_host> asked_;
    time_point ask_all_at_{};
    std::unordered_map<std::string, wanted_turn> turns_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_MONITOR_LINK_HPP

#ifndef CYCLAMENRUN_LOAD_RECEIVER_HPP
#define CYCLAMENRUN_LOAD_RECEIVER_HPP

#include "datagram_socket.hpp"
#include "upstream_record.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace cyclamenrun
{

/**
 * A gateway's side of the loads that monitors tell: asks those beside the
 * engines that it may use, again and again, and takes in what comes.
 */
class load_receiver : public std::enable_shared_from_this<load_receiver>
{
public:
    struct hooks {
        std::function<void(const ip_endpoint& engine, const engine_load&)>
            load;
        /** How many gateways the monitors hear of. */
        std::function<void(unsigned)> gateways;
        /** IP numbers of the VMs on which engines run. */
        std::function<std::set<std::string>()> engine_hosts;
    };

    /** Monitors listen at `monitor_port` of the engines' VMs. */
    load_receiver(std::shared_ptr<link_reactor> reactor,
                  const ip_endpoint& listen, std::uint16_t monitor_port,
                  std::string name, hooks on);

    void start();

private:
    void ask();
    void take(std::string_view bytes);

    std::shared_ptr<link_reactor> reactor_;
    std::shared_ptr<datagram_socket> socket_;
    std::uint16_t monitor_port_;
    std::string subscription_;
    hooks on_;
    std::set<std::string> asked_;
    time_point ask_all_at_{};
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LOAD_RECEIVER_HPP

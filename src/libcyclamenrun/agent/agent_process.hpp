#ifndef CYCLAMENRUN_AGENT_PROCESS_HPP
#define CYCLAMENRUN_AGENT_PROCESS_HPP

#include "agent_settings.hpp"
#include "cancellation.hpp"
#include "configuration_store.hpp"
#include "gate.hpp"
#include "link_loop.hpp"
#include "state_dump.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace cyclamenrun
{

class agent_server;
class order_worker;
class platform_log_client;
class upstream_driver;

/**
 * The agent process: the gate of one upstream, the server that entries
 * connect to, the upstream driver and, for a model engine, the order worker.
 */
class agent_process
{
public:
    explicit agent_process(const agent_settings& settings);
    agent_process(const agent_process&) = delete;
    agent_process& operator=(const agent_process&) = delete;
    ~agent_process();

    /**
     * The address that entries connect to. If the settings name port 0, this
     * has the port that the system chose.
     */
    std::string address() const;

    /**
     * Performs a planned stop: refuses new work and waits until the running
     * work has ended and entries have fetched its answers. Returns false if
     * this takes longer than the drain timeout in the settings.
     */
    bool drain();

private:
    void serve_entries();
    void start_order_worker();
    void apply_objective();
    void add_dump_sections();

    agent_settings settings_;
    std::uint64_t incarnation_;
    configuration_store configuration_;
    state_dump dump_;
    cancellation stop_log_;
    std::unique_ptr<platform_log_client> log_;
    std::unique_ptr<upstream_driver> driver_;
    std::unique_ptr<gate> gate_;
    link_loop loop_;
    std::unique_ptr<agent_server> server_;
    std::unique_ptr<order_worker> orders_; ///< model engines only
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_AGENT_PROCESS_HPP

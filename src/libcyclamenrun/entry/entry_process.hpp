#ifndef CYCLAMENRUN_ENTRY_PROCESS_HPP
#define CYCLAMENRUN_ENTRY_PROCESS_HPP

#include "cancellation.hpp"
#include "entry_core.hpp"
#include "entry_settings.hpp"
#include "link_loop.hpp"
#include "state_dump.hpp"

#include <Poco/ThreadPool.h>
#include <memory>
#include <string>
#include <vector>

namespace Poco::Net
{
class HTTPServer;
} // namespace Poco::Net

namespace cyclamenrun
{

class configuration_recovery;
class log_tailer;
class logging_platform_log;
class operator_commands;
class operator_queries;
class platform_log_client;
class rpc_router;
class snapshot_writer;
class vm_list_watcher;

/**
 * The entry process: the core, the HTTP servers for callers and operators, and
 * the configuration log and VM list readers.
 */
class entry_process
{
public:
    explicit entry_process(const entry_settings& settings);
    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;
    ~entry_process();

    /** The address that callers connect to. */
    std::string address() const;
    /** The address that operators connect to. */
    std::string operator_address() const;

    /**
     * Performs a planned stop: reports not ready, waits for the load balancer
     * to react, refuses new work, and waits until the running requests are
     * answered and a last one may have come on their connections. Returns false
     * if this takes longer than the drain timeout in the settings.
     */
    bool drain();

private:
    /** Returns false if requests are still running at the deadline. */
    bool wait_for_requests(time_point deadline) const;
    void start_configuration_sources();
    void enable_peer_recovery();
    void serve_operators();
    void serve_callers();
    void add_dump_sections();
    void add_commands(rpc_router& router);
    void add_queries(rpc_router& router);
    outcome<v1::DrainUpstreamResponse>
    drain_upstream(const v1::DrainUpstreamRequest& request);
    outcome<v1::DumpStateResponse>
    dump_state(const v1::DumpStateRequest& request);

    entry_settings settings_;
    std::vector<std::shared_ptr<link_loop>> loops_;
    std::unique_ptr<entry_core> core_;
    state_dump dump_;

    cancellation stop_log_;
    std::unique_ptr<platform_log_client> log_; ///< for appends and snapshots
    std::unique_ptr<platform_log_client> tail_log_; ///< for the tailer
    std::unique_ptr<logging_platform_log> logging_log_;
    std::unique_ptr<logging_platform_log> logging_tail_log_;
    std::shared_ptr<snapshot_writer> snapshots_;
    std::unique_ptr<configuration_recovery> recovery_;
    std::unique_ptr<log_tailer> tailer_;
    std::unique_ptr<vm_list_watcher> vm_list_;
    std::unique_ptr<operator_commands> commands_;
    std::unique_ptr<operator_queries> queries_;

    Poco::ThreadPool caller_threads_;
    Poco::ThreadPool operator_threads_;
    std::unique_ptr<Poco::Net::HTTPServer> callers_;
    std::unique_ptr<Poco::Net::HTTPServer> operators_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ENTRY_PROCESS_HPP

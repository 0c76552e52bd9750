#ifndef CYCLAMENRUN_GATEWAY_PROCESS_HPP
#define CYCLAMENRUN_GATEWAY_PROCESS_HPP

#include "connection_guard.hpp"
#include "directory_watch.hpp"
#include "exchange.hpp"
#include "gateway_context.hpp"
#include "gateway_settings.hpp"
#include "http_server.hpp"
#include "link_loop.hpp"
#include "metrics_listener.hpp"
#include "monitor_link.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cyclamenrun
{

/** A complete gateway: its servers, its directory feeds and its relays. */
class gateway_process
{
public:
    using settings_reader = std::function<settings_outcome<gateway_settings>()>;

    gateway_process(const gateway_settings& settings, gateway_platform platform,
                    settings_reader read_settings);
    gateway_process(const gateway_process&) = delete;
    gateway_process& operator=(const gateway_process&) = delete;
    ~gateway_process();

    /** Address of the listener for callers. */
    std::string address() const;
    std::string ready_address() const;

    /** Reads the settings again and applies those that may change. */
    void reload();

    /**
     * Performs a planned stop. The gateway reports not ready at once, accepts
     * requests for as long as the balancer needs to notice, and then waits for
     * the running requests and for callers that still read. Returns false if
     * the grace in the settings ends before; requests that still run are
     * refused, or their answers broken off.
     */
    bool drain();

private:
    void start(gateway_platform platform);
    void start_servers();
    void start_guard();
    void start_monitor_link();
    void start_peer_link();
    void start_relays(std::uint16_t port);
    std::set<std::string> monitored_hosts() const;
    std::vector<relay_candidate> relay_candidates() const;
    session_hooks caller_hooks();
    session_hooks ready_hooks();
    session_limits limits() const;

    /** Keeps them alive while they are told something. */
    std::vector<std::shared_ptr<exchange>> running_requests() const;
    void upstream_leaving(const std::string& id,
                          std::optional<time_point> leaves_at);
    bool ready() const;
    std::size_t count_poison(suspect_kind kind) const;
    std::string state_text();
    void refresh_gauges();
    void tick();
    /** True if nothing runs and all callers have read their answers. */
    bool is_drained() const;
    void log_drain(bool complete) const;
    /** Ends the requests that outlast the stop grace. */
    void end_running();
    void check_settings();
    void apply_settings(const gateway_settings& settings);
    void on_loop(const std::function<void()>& work);

    gateway_settings settings_;
    settings_reader read_settings_;
    std::unique_ptr<link_loop> loop_;
    std::unique_ptr<gateway_context> context_;
    std::shared_ptr<connection_guard> guard_;
    std::shared_ptr<http_server> caller_server_;
    std::shared_ptr<http_server> ready_server_;
    std::unique_ptr<directory_watch> directory_;
    std::shared_ptr<relay_clients> relays_;
    std::unique_ptr<metrics_listener> metrics_;
    time_point next_settings_check_{};
    bool ended_ = false;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_GATEWAY_PROCESS_HPP

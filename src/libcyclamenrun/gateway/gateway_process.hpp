#ifndef CYCLAMENRUN_GATEWAY_PROCESS_HPP
#define CYCLAMENRUN_GATEWAY_PROCESS_HPP

#include "exchange.hpp"
#include "feed_follower.hpp"
#include "gateway_context.hpp"
#include "gateway_settings.hpp"
#include "http_server.hpp"
#include "link_loop.hpp"
#include "monitor_link.hpp"

#include <functional>
#include <future>
#include <memory>
#include <string>

namespace cyclamenrun
{

/** What a gateway needs of the deployment's platform. */
struct gateway_platform {
    std::shared_ptr<const gateway_dialect> dialect;
    std::function<std::shared_ptr<configuration_feed>(
        std::shared_ptr<link_reactor>, const ip_endpoint&)>
        configurations;
    std::function<std::shared_ptr<upstream_feed>(std::shared_ptr<link_reactor>,
                                                 const ip_endpoint&)>
        upstreams;
};

/** All of a gateway: what serves callers, and what keeps it informed. */
class gateway_process
{
public:
    using reread_settings = std::function<settings_outcome<gateway_settings>()>;

    gateway_process(const gateway_settings& settings, gateway_platform platform,
                    reread_settings reread);
    gateway_process(const gateway_process&) = delete;
    gateway_process& operator=(const gateway_process&) = delete;
    ~gateway_process();

    /** Where callers reach it. */
    std::string address() const;
    std::string ready_address() const;

    /** Reads the settings again; what can't change in a run is left. */
    void reload();

    /**
     * A planned stop: not ready at once, but serving until the balancer has
     * noticed, and then until the requests at hand are answered. False if
     * that took longer than the settings allow.
     */
    bool drain();

private:
    void start();
    void start_feeds();
    void start_servers();
    void start_monitor_link();
    session_hooks caller_hooks();
    session_hooks ready_hooks();
    session_limits limits() const;

    void take_configurations(std::vector<gateway_configuration>&& versions);
    void take_upstreams(std::vector<upstream_change>&& changes, bool whole);
    void directory_lost(std::string_view feed, directory_problem problem);
    void directory_regained(std::string_view feed, duration away);
    void upstream_leaving(const std::string& id,
                          std::optional<time_point> leaves_at);
    bool ready() const;
    std::string state_text();
    void tick();
    void look_at_settings();
    void use(const gateway_settings& settings);
    void on_loop(const std::function<void()>& work);

    gateway_settings settings_;
    gateway_platform platform_;
    reread_settings reread_;
    std::unique_ptr<link_loop> loop_;
    std::unique_ptr<gateway_context> context_;
    std::shared_ptr<http_server> callers_;
    std::shared_ptr<http_server> ready_server_;
    std::shared_ptr<feed_follower<gateway_configuration>> configurations_;
    std::shared_ptr<feed_follower<upstream_change>> upstreams_;
    /** The directory was away until just before this time. */
    time_point doubt_until_{};
    bool upstreams_known_ = false;
    time_point look_at_settings_at_{};
    bool ended_ = false;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_GATEWAY_PROCESS_HPP

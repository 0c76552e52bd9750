#ifndef CYCLAMENRUN_ENGINE_MONITOR_HPP
#define CYCLAMENRUN_ENGINE_MONITOR_HPP

#include "copy_turns.hpp"
#include "datagram_socket.hpp"
#include "exported_metrics.hpp"
#include "gateway_count_history.hpp"
#include "gateway_dialect.hpp"
#include "http_client.hpp"
#include "start_queue.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cyclamenrun::v1
{
class EngineLoad;
class MonitorNotice;
class MonitorRequest;
class StartWanted;
} // namespace cyclamenrun::v1

namespace cyclamenrun
{

struct engine_monitor_settings {
    ip_endpoint engine;
    ip_endpoint listen;
    /** Time between two polls of the engine. */
    milliseconds interval{100};
};

/**
 * Polls the engine of its own VM, sends the load to subscribed gateways, and
 * grants them starts and copy turns. Polling within the VM is cheap and gives
 * current values. The alternatives are worse: the directory reports a load
 * seconds late, and if each gateway polled each engine, the number of calls
 * would grow with gateways times engines.
 */
class engine_monitor : public std::enable_shared_from_this<engine_monitor>
{
public:
    engine_monitor(const std::shared_ptr<link_reactor>& reactor,
                   std::shared_ptr<const gateway_dialect> dialect,
                   const engine_monitor_settings& settings,
                   exported_metrics& metrics);

    ip_endpoint address() const { return socket_->address(); }
    void start();
    /** `call` runs once, when the engine first reports that it leaves. */
    void on_leaving(std::function<void()> call)
    {
        on_leaving_ = std::move(call);
    }
    std::size_t gateways() const { return gateways_.size(); }

private:
    /** A gateway that sent a request within `gateway_lifetime`. */
    struct known_gateway {
        ip_endpoint address;
        time_point expires_at;
        time_point subscribed_until{}; ///< end of its load subscription
    };

    void handle_request(const ip_endpoint& from, std::string_view bytes);
    known_gateway* find_or_add_gateway(const ip_endpoint& from,
                                       const std::string& key);
    /** `knows_less`: it knows of fewer gateways than there were. */
    void handle_subscription(known_gateway& gateway, bool knows_less);
    /**
     * Remembers how many gateways there were, for those that start. Returns
     * whether the sender of the request knows of fewer.
     */
    bool learn_gateway_counts(const v1::MonitorRequest& request);
    std::size_t count_subscribers() const;
    void handle_turn_request(const ip_endpoint& from,
                             const std::string& gateway,
                             const v1::MonitorRequest& request);
    void grant_next_turn();
    void handle_start_request(const ip_endpoint& from,
                              const std::string& gateway,
                              const v1::StartWanted& wanted);
    void grant_starts();
    void schedule_start_grants();
    void send_start_grant(const start_request& start);
    /** Records what is known of the engine's steps; logs slow moments. */
    void record_step_metrics();

    /**
     * Queries the id of the engine unless it is known or was queried just
     * before.
     */
    void query_identity();
    void handle_identity(const call_outcome& outcome);
    /** True if a recent identity query is pending. */
    bool is_identifying() const;
    void write_identity(v1::MonitorNotice& notice) const;

    void poll_engine();
    void schedule_poll();
    /** Delays the next calls if the engine asks for rest. */
    void obey_rest(const http_reply& reply);
    void handle_load_reply(const call_outcome& outcome);
    void record_load_metrics(const engine_load& load);
    void publish_load(const engine_load& load);
    v1::MonitorNotice load_notice(const engine_load& load) const;
    void write_load(const engine_load& load, v1::EngineLoad& message) const;
    /** Adds the load to a notice of another kind, if the load is known. */
    void write_current_load(v1::MonitorNotice& notice) const;
    void remove_expired_gateways();

    std::shared_ptr<link_reactor> reactor_;
    std::shared_ptr<const gateway_dialect> dialect_;
    engine_monitor_settings settings_;
    std::shared_ptr<datagram_socket> socket_;
    std::shared_ptr<http_client> load_client_;
    std::shared_ptr<http_client> identity_client_;
    std::string health_target_;
    std::string engine_id_; ///< empty: unknown
    /** Empty: the engine has not said that it is cold. */
    std::optional<time_point> engine_cold_until_;
    time_point next_identity_query_{};
    std::map<std::string, known_gateway> gateways_; ///< by address
    gateway_count_history gateway_counts_;
    copy_turns turns_;
    start_queue starts_;
    time_point next_grant_check_{};        ///< next scheduled grant_starts()
    std::optional<engine_load> last_load_; ///< empty: engine does not respond
    std::string last_published_;           ///< bytes of the last load notice
    time_point republish_at_{};
    time_point next_publish_at_{};
    bool published_leaving_ = false;
    std::int64_t published_start_ = 0;
    std::function<void()> on_leaving_;
    exported_metrics& metrics_;
    time_point next_poll_{};
    time_point polled_at_{};
    bool engine_reachable_ = true;
    std::optional<time_point> slow_since_; ///< begin of a slow moment
};

/**
 * Minimum time between two load notices to `gateways` subscribers. It grows
 * with their number so that a monitor sends at most 125 datagrams a second.
 * Without the bound the total grows with gateways times engines: 13,500 a
 * second at 27 gateways and 50 engines. A notice that the engine leaves is
 * sent at once.
 */
milliseconds load_publish_interval(std::size_t gateways);

/**
 * Maximum number of known gateways; others get no load reports and no start
 * grants.
 */
inline constexpr std::size_t max_gateways = 512;

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ENGINE_MONITOR_HPP

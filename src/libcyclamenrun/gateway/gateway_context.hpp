#ifndef CYCLAMENRUN_GATEWAY_CONTEXT_HPP
#define CYCLAMENRUN_GATEWAY_CONTEXT_HPP

#include "backup_policy.hpp"
#include "configuration_lease.hpp"
#include "crash_detector.hpp"
#include "directory_view.hpp"
#include "engine_clients.hpp"
#include "evacuated_domains.hpp"
#include "exported_metrics.hpp"
#include "gateway_count_hooks.hpp"
#include "gateway_dialect.hpp"
#include "gateway_routes.hpp"
#include "identity_checks.hpp"
#include "link_reactor.hpp"
#include "mark_keeper.hpp"
#include "monitor_link.hpp"
#include "peer_link.hpp"
#include "poison_guard.hpp"
#include "repeat_loans.hpp"
#include "response_time.hpp"
#include "shared_limits.hpp"
#include "shared_retry_budget.hpp"
#include "stream_origins.hpp"
#include "upstream_choice.hpp"
#include "upstream_connections.hpp"
#include "upstream_limits.hpp"
#include "upstream_notices.hpp"
#include "upstream_registry.hpp"

#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace cyclamenrun
{

class exchange;

/**
 * State shared by all requests on one reactor. Accessed on the reactor's thread
 * only, so it needs no lock.
 */
struct gateway_context {
    gateway_context(std::shared_ptr<link_reactor> shared_reactor,
                    std::shared_ptr<const gateway_dialect> wire_dialect,
                    upstream_registry::hooks upstream_hooks,
                    const retry_budget_settings& retries,
                    std::optional<milliseconds> lease_term, std::uint64_t seed);
    gateway_context(const gateway_context&) = delete;
    gateway_context& operator=(const gateway_context&) = delete;

    /**
     * Records that an engine broke a stream without notice: backups are made
     * for a while. Logs it unless they are made already.
     */
    void record_crash(const std::string& upstream_id);
    /** The configuration is now this one. */
    void use_routes(std::shared_ptr<const gateway_routes> newer);
    /** Records the limit that an answer names, and logs a change. */
    void record_limit(const upstream_record& upstream,
                      std::optional<double> limit);
    void log_limit(const std::string& upstream_id, std::optional<double> limit,
                   std::string_view source) const;
    /** Records what an upstream says of itself, and logs a change. */
    void record_notice(const std::string& upstream_id,
                       const upstream_notice& notice);
    /** Records until when a listed upstream is cold, and logs a change. */
    void record_cold(const upstream_record& listed);
    /** Records until when an upstream is cold, and logs a change. */
    void record_cold_until(const upstream_record& upstream, cold_source source,
                           time_point until);
    /** Records how long an upstream says that it is cold. */
    void record_cold_answer(const std::string& upstream_id, milliseconds left);
    /**
     * An upstream has started, or will, that the directory does not list: it is
     * taken for cold for the time that its service names.
     */
    void presume_cold(const upstream_record& started, cold_source why);
    /** The rates of cold upstreams are those of the current configuration. */
    void update_cold_rates();
    /** Logs which upstreams are no longer cold. */
    void remove_warm();
    /**
     * Shares of limits and of the retry budget are by the number of gateways,
     * as far as known.
     */
    void update_gateway_count();
    /** Which gateways send to cold upstreams depends on all that are known. */
    void update_cold_senders();
    /** Access to the numbers of gateways that this one remembers. */
    gateway_count_hooks count_hooks();
    /** Asks other gateways for repeats that the budget lacks. */
    void request_loans();
    /** Answers a message of another gateway that has no tables. */
    std::optional<v1::PeerMessage>
    handle_direct(const std::string& host, const v1::PeerMessage& message);
    /**
     * Tells other gateways where streams began, and asks them. `seeds`: hosts
     * of gateways that may run, for one that knows no others yet.
     */
    void share_origins(std::vector<std::string> seeds);
    /** Remembers the versions of the upstreams that are listed now. */
    void record_versions();
    /** Does that each second, since a stream may outlive its upstreams. */
    void record_versions_if_due();
    /**
     * Calls `on_known` with true once all records have been received that the
     * directory holds now, or with false if that takes too long.
     */
    void confirm_directory_view(directory_view::handler on_known);
    /** Software version of an upstream's process; empty: unknown. */
    std::string version_of(const upstream_record& upstream) const;
    /**
     * Whether the process of an upstream that reports its load should be asked
     * for its start before its version is relied on.
     */
    bool should_confirm(const upstream_record& upstream) const;
    /** Asks it. `on_known` is called once, after an answer or a timeout. */
    void confirm_process(const upstream_record& upstream,
                         std::function<void()> on_known);
    /** Tables that this gateway shares with the others. */
    std::vector<peer_table> shared_tables();
    /**
     * Tells other gateways what has changed, together with what changes in the
     * rest of this iteration of the loop.
     */
    void push_changes_later();
    /** Ends the requests that are refused since a conviction. */
    void end_poison_requests();
    /** Tells the running requests that an evacuation has begun. */
    void domain_evacuated();
    /** Marks a request that an upstream had when it crashed. */
    void handle_crash(const upstream_record& upstream,
                      const lost_request& lost);

    /** Keeps the poison marks there from now on. */
    void keep_marks(std::shared_ptr<mark_log> log);
    /** Prepares the checks of upstreams whose addresses are contested. */
    void prepare_identity_checks();

    std::shared_ptr<link_reactor> reactor;
    std::shared_ptr<const gateway_dialect> dialect;
    exported_metrics metrics;
    std::string failure_domain; ///< of this process
    /** Logs every decision on every request. */
    bool log_every_step = false;

    upstream_connections connections;
    engine_clients engine_client_pool;
    upstream_registry upstreams;
    shared_retry_budget budget;
    gateway_count_history gateway_counts;
    response_times route_response_times;
    configuration_lease lease;
    backup_policy backups;
    /** Null until a configuration is known; replaced, never modified. */
    std::shared_ptr<const gateway_routes> routes;
    std::mt19937_64 random;
    upstream_limits limits;
    upstream_notices notices;
    evacuated_domains evacuated;
    repeat_loans loans;
    service_versions versions;
    directory_view view; ///< of the upstreams
    stream_origins origins;
    upstream_choice choice;
    poison_guard poison;
    /** Null in a deployment that keeps no marks. */
    std::shared_ptr<mark_keeper> kept_marks;
    std::shared_ptr<crash_detector> crashes;
    std::shared_ptr<identity_checks> identities;
    /** Null in a deployment without monitors. */
    std::shared_ptr<monitor_link> monitors;
    /** Hosts of the engines at which a run is lost and may go on. */
    std::multiset<std::string> lost_run_hosts;
    /** Gateways that the monitors know; until one reports, a safe guess. */
    unsigned monitored_gateways = 8;
    /** Null in a deployment whose gateways do not know each other. */
    std::shared_ptr<peer_link> peers;
    /** Requests in progress. */
    std::unordered_set<exchange*> running;
    bool stopping = false; ///< a planned stop has begun
    bool push_pending = false;
    boot_time cold_senders_updated_at{};
    time_point next_version_record{};
    /** When a planned stop ends this process, even with requests running. */
    std::optional<time_point> stop_at;
    /** In a stop, no new connection is taken any more. */
    bool listener_closed = false;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_GATEWAY_CONTEXT_HPP

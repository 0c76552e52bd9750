#ifndef CYCLAMENRUN_DIRECTORY_WATCH_HPP
#define CYCLAMENRUN_DIRECTORY_WATCH_HPP

#include "directory_messages.hpp"
#include "feed_follower.hpp"
#include "gateway_context.hpp"
#include "gateway_settings.hpp"
#include "mark_log.hpp"
#include "relay_clients.hpp"
#include "relayed_feed.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace cyclamenrun
{

/** The parts of a gateway that depend on the deployment's platform. */
struct gateway_platform {
    std::shared_ptr<const gateway_dialect> dialect;
    /** Creates the feed of the configurations in a directory. */
    std::function<std::shared_ptr<configuration_feed>(
        std::shared_ptr<link_reactor>, const ip_endpoint&)>
        configurations;
    /** The same for the upstreams. */
    std::function<std::shared_ptr<upstream_feed>(std::shared_ptr<link_reactor>,
                                                 const ip_endpoint&)>
        upstreams;
    /** Creates the log that keeps poison marks; may be empty: none does. */
    std::function<std::shared_ptr<mark_log>(std::shared_ptr<link_reactor>,
                                            const ip_endpoint&)>
        marks = {};
    /** Parses a configuration text that a monitor has relayed. */
    configuration_reader read_configuration;
};

/**
 * Updates a gateway's configuration, lease, evacuated domains and upstreams
 * from the platform's directory. Logs changes, and when the directory or the
 * lease is lost and regained. Used on the reactor's thread only.
 */
class directory_watch
{
public:
    directory_watch(gateway_context& context, gateway_platform platform);
    directory_watch(const directory_watch&) = delete;
    directory_watch& operator=(const directory_watch&) = delete;

    /** Follows the directory in the settings; called again when it changes. */
    void follow(const gateway_settings& settings);
    void stop();
    /**
     * Removes upstreams that the directory has not listed in time, and logs the
     * end of the lease. Called periodically.
     */
    void tick();

    /** Sets the monitors through which the feeds are read from then on. */
    void use_relays(std::shared_ptr<relay_clients> relays);

    bool upstreams_known() const { return upstreams_known_; }
    /** True if the last successful read of each feed went through a monitor. */
    bool relayed() const;

private:
    /** Since when the directory has been unavailable to one of its feeds. */
    std::optional<time_point> lost_since() const;
    void follow_configurations(const gateway_settings& settings,
                               std::optional<time_point> out_since);
    void follow_upstreams(const gateway_settings& settings,
                          std::optional<time_point> out_since);
    template <typename Hooks>
    void add_common_hooks(Hooks& hooks, std::string_view feed);
    void apply_configurations(std::vector<configuration_record>&& records);
    void apply_configuration(gateway_configuration&& version);
    void apply_evacuations(const directory_page<configuration_record>& page,
                           bool whole, boot_time sent_at);
    template <typename Item>
    typename relayed_feed<Item>::hooks relay_hooks(std::string_view feed);
    /**
     * Retries both feeds at once after one of them has reached the directory.
     * Otherwise the next retry of the other feed may be 0.8 s away, and callers
     * would be refused for lack of a lease until then.
     */
    void retry_feeds();
    void apply_upstreams(std::vector<upstream_change>&& changes, bool whole);
    /**
     * The newest records were read again, since the history was deleted:
     * upstreams may have come and gone since the last read.
     */
    void note_missed_records(boot_time newest_as_of);
    void lost(std::string_view feed, directory_problem problem);
    void regained(std::string_view feed, duration outage);
    void unreadable(std::string_view feed,
                    const std::vector<std::string>& keys);
    void log_lease_change();

    gateway_context& context_;
    gateway_platform platform_;
    std::shared_ptr<relay_clients> relays_;
    std::shared_ptr<feed_follower<configuration_record>> configurations_;
    std::shared_ptr<feed_follower<upstream_change>> upstreams_;
    /**
     * Until this time, a record may be missing only because it expired during
     * an outage of the directory, so its upstream is kept as unconfirmed.
     */
    time_point unconfirmed_until_{};
    bool upstreams_known_ = false;
    bool lease_valid_ = false;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_DIRECTORY_WATCH_HPP

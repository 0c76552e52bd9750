#include "directory_watch.hpp"

#include "log_event.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

namespace
{

/**
 * Time after an outage of the directory in which upstreams may still renew
 * records that expired during it.
 */
constexpr milliseconds unconfirmed_after_outage{1200};

/**
 * Longest wait of an upstream read through a monitor. Upstreams leave with only
 * seconds of notice, so a monitor that has lost the directory must be detected
 * in a fraction of that.
 */
constexpr milliseconds max_relayed_wait{450};

/**
 * Wait of a configuration read while no upstream is known. Nothing is served
 * then, so the lease need not be renewed in time.
 */
constexpr milliseconds idle_wait{3000};

/**
 * A lease that ends while a read waits would leave a gateway without one when
 * the first upstream comes. Since it counts from when a read was sent, two
 * waits must end in it; the rest is for slow answers.
 */
milliseconds idle_wait_for(milliseconds lease)
{
    constexpr int waits_in_lease = 4;
    return lease > milliseconds::zero()
               ? std::min(idle_wait, lease / waits_in_lease)
               : idle_wait;
}

/** Upstreams are listed for longer than this. */
constexpr milliseconds min_listed_time{1000};

constexpr std::string_view configuration_feed_name = "configurations";
constexpr std::string_view upstream_feed_name = "upstreams";

} // namespace

directory_watch::directory_watch(gateway_context& context,
                                 gateway_platform platform)
    : context_(context), platform_(std::move(platform))
{
}

void directory_watch::follow(const gateway_settings& settings)
{
    context_.evacuated.follow_other_log();
    // An outage goes on until the followers that take over have an answer.
    const auto out_since = lost_since();
    if (platform_.marks)
        context_.keep_marks(
            platform_.marks(context_.reactor, settings.directory));
    follow_configurations(settings, out_since);
    follow_upstreams(settings, out_since);
}

std::optional<time_point> directory_watch::lost_since() const
{
    // One feed may not have noticed yet what the other has.
    if (configurations_ && configurations_->lost_since())
        return configurations_->lost_since();
    return upstreams_ ? upstreams_->lost_since() : std::nullopt;
}

void directory_watch::stop()
{
    configurations_.reset();
    upstreams_.reset();
    relays_.reset();
}

bool directory_watch::relayed() const
{
    return configurations_ && configurations_->relayed() && upstreams_ &&
           upstreams_->relayed();
}

void directory_watch::use_relays(std::shared_ptr<relay_clients> relays)
{
    relays_ = std::move(relays);
}

template <typename Item>
typename relayed_feed<Item>::hooks
directory_watch::relay_hooks(std::string_view feed)
{
    typename relayed_feed<Item>::hooks on;
    on.relays = [this] { return relays_; };
    on.relayed = [this, feed] {
        context_.metrics.count(exported_metric::directory_relayed,
                               {std::string(feed)});
    };
    return on;
}

template <typename Hooks>
void directory_watch::add_common_hooks(Hooks& hooks, std::string_view feed)
{
    hooks.regained = [this, feed](duration outage) {
        // Applies to both feeds: a call of the other feed may have outlasted a
        // short outage without an error.
        unconfirmed_until_ =
            context_.reactor->awake_now() + unconfirmed_after_outage;
        regained(feed, outage);
        retry_feeds();
    };
    hooks.lost = [this, feed](directory_problem problem) {
        lost(feed, problem);
    };
    hooks.unreadable = [this, feed](const std::vector<std::string>& keys) {
        unreadable(feed, keys);
    };
    hooks.answered = [this, feed](duration took) {
        context_.metrics.observe(exported_metric::directory_time,
                                 {std::string(feed)}, took);
    };
    hooks.failed = [this, feed](directory_problem problem) {
        context_.metrics.count(
            exported_metric::directory_failures,
            {std::string(feed), std::string(name_of(problem))});
    };
}

void directory_watch::follow_configurations(const gateway_settings& settings,
                                            std::optional<time_point> out_since)
{
    feed_timing timing;
    timing.wait = settings.configuration_wait;
    feed_follower<configuration_record>::hooks on;
    add_common_hooks(on, configuration_feed_name);
    on.received = [this](const directory_page<configuration_record>& page,
                         bool whole, boot_time sent_at) {
        apply_evacuations(page, whole, sent_at);
    };
    on.items = [this](std::vector<configuration_record>&& records, bool) {
        apply_configurations(std::move(records));
    };
    on.wait = [this, wait = settings.configuration_wait,
               idle = idle_wait_for(settings.configuration_lease)] {
        return context_.upstreams.size() == 0 ? std::max(wait, idle) : wait;
    };
    on.confirmed = [this](boot_time sent_at) {
        context_.lease.renew(sent_at);
        log_lease_change();
    };
    auto relayed = relay_hooks<configuration_record>(configuration_feed_name);
    relayed.read = [this](const v1::DirectoryAnswer& answer) {
        return read_configurations(answer, platform_.read_configuration);
    };
    const auto feed = std::make_shared<relayed_feed<configuration_record>>(
        context_.reactor, v1::DIRECTORY_FEED_CONFIGURATIONS,
        platform_.configurations(context_.reactor, settings.directory),
        context_.random, std::move(relayed));
    configurations_ = std::make_shared<feed_follower<configuration_record>>(
        context_.reactor, feed, timing, std::move(on));
    configurations_->start(out_since);
}

void directory_watch::follow_upstreams(const gateway_settings& settings,
                                       std::optional<time_point> out_since)
{
    feed_timing timing;
    timing.wait = settings.upstream_wait;
    feed_follower<upstream_change>::hooks on;
    add_common_hooks(on, upstream_feed_name);
    on.items = [this](std::vector<upstream_change>&& changes, bool whole) {
        apply_upstreams(std::move(changes), whole);
    };
    on.lost = [this](directory_problem problem) {
        context_.view.mark_lost();
        lost(upstream_feed_name, problem);
    };
    on.received = [this](const directory_page<upstream_change>&, bool whole,
                         boot_time sent_at) {
        if (whole)
            note_missed_records(sent_at);
    };
    on.confirmed = [this](boot_time sent_at) {
        context_.view.confirm(sent_at);
    };
    on.pause = [pause = settings.upstream_pause] { return pause; };
    auto relayed = relay_hooks<upstream_change>(upstream_feed_name);
    relayed.read = read_upstreams;
    relayed.max_wait = max_relayed_wait;
    relayed.partial = [this](std::vector<upstream_change>&& some) {
        apply_upstreams(std::move(some), false);
    };
    const auto feed = std::make_shared<relayed_feed<upstream_change>>(
        context_.reactor, v1::DIRECTORY_FEED_UPSTREAMS,
        platform_.upstreams(context_.reactor, settings.directory),
        context_.random, std::move(relayed));
    upstreams_ = std::make_shared<feed_follower<upstream_change>>(
        context_.reactor, feed, timing, std::move(on));
    upstreams_->start(out_since);
    context_.view.set_hook([weak = std::weak_ptr(upstreams_)] {
        if (const auto follower = weak.lock())
            follower->read_soon();
    });
}

void directory_watch::note_missed_records(boot_time newest_as_of)
{
    const auto& last = context_.view.as_of();
    if (last && newest_as_of - *last > min_listed_time)
        context_.versions.restart_watch(context_.reactor->now());
}

void directory_watch::retry_feeds()
{
    if (configurations_)
        configurations_->retry_now();
    if (upstreams_)
        upstreams_->retry_now();
}

void directory_watch::tick()
{
    context_.upstreams.remove_unlisted(context_.reactor->awake_now());
    log_lease_change();
}

void directory_watch::log_lease_change()
{
    const auto now = boot_now();
    const bool valid = context_.lease.valid(now);
    if (valid == std::exchange(lease_valid_, valid))
        return;
    const auto age = context_.lease.age(now).value_or(milliseconds(0));
    log_event(
        valid ? log_severity::info : log_severity::warning,
        valid ? log_event_name::lease_renewed : log_event_name::lease_ended,
        {{log_key::revision, context_.routes ? context_.routes->version() : 0},
         {log_key::age_ms, age}});
}

void directory_watch::apply_configurations(
    std::vector<configuration_record>&& records)
{
    for (auto& record : records) {
        if (auto* version = std::get_if<gateway_configuration>(&record))
            apply_configuration(std::move(*version));
    }
}

void directory_watch::apply_configuration(gateway_configuration&& version)
{
    const auto current = context_.routes ? context_.routes->version() : 0;
    // Skips an older version that arrives after a newer one.
    if (context_.routes && version.version <= current)
        return;
    log_event(log_severity::info, log_event_name::configuration_applied,
              {{log_key::revision, version.version},
               {log_key::count, version.routes.size()}});
    context_.use_routes(
        std::make_shared<const gateway_routes>(std::move(version)));
}

void directory_watch::apply_evacuations(
    const directory_page<configuration_record>& page, bool whole,
    boot_time sent_at)
{
    std::vector<evacuation_change> records;
    for (const auto& record : page.items) {
        if (const auto* evacuation = std::get_if<evacuation_change>(&record))
            records.push_back(*evacuation);
    }
    const auto age =
        std::chrono::duration_cast<milliseconds>(boot_now() - sent_at);
    const auto result =
        context_.evacuated.update(records, whole, page.next_offset);
    for (const auto& each : result.changes)
        log_event(log_severity::warning,
                  each.evacuated ? log_event_name::domain_evacuated
                                 : log_event_name::evacuation_ended,
                  {{log_key::failure_domain, each.failure_domain},
                   {log_key::age_ms, age},
                   {log_key::count, context_.evacuated.size()}});
    if (!result.changes.empty())
        context_.domain_evacuated();
    if (!result.ignored.empty())
        unreadable(configuration_feed_name, result.ignored);
}

void directory_watch::apply_upstreams(std::vector<upstream_change>&& changes,
                                      bool whole)
{
    // An upstream is not judged by records that this process has not read.
    const auto now = context_.reactor->awake_now();
    const bool unconfirmed = now < unconfirmed_until_;
    if (whole)
        context_.upstreams.replace_all(changes, now, unconfirmed);
    else
        for (const auto& change : changes)
            context_.upstreams.apply(change, now, unconfirmed);
    if (!std::exchange(upstreams_known_, true))
        log_event(log_severity::info, log_event_name::vm_list_read,
                  {{log_key::count, context_.upstreams.size()}});
}

void directory_watch::lost(std::string_view feed, directory_problem problem)
{
    log_event(log_severity::warning, log_event_name::directory_lost,
              {{log_key::name, feed}, {log_key::reason, name_of(problem)}});
}

void directory_watch::regained(std::string_view feed, duration outage)
{
    log_event(log_severity::info, log_event_name::directory_regained,
              {{log_key::name, feed},
               {log_key::duration_ms,
                std::chrono::duration_cast<milliseconds>(outage)}});
}

void directory_watch::unreadable(std::string_view feed,
                                 const std::vector<std::string>& keys)
{
    context_.metrics.count(exported_metric::unreadable_records,
                           {std::string(feed)},
                           static_cast<double>(keys.size()));
    log_event(log_severity::warning, log_event_name::record_unreadable,
              {{log_key::name, feed},
               {log_key::count, keys.size()},
               {log_key::detail, keys.front()}});
}

} // namespace cyclamenrun

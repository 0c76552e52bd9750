#include "directory_watch.hpp"

#include "directory_news.hpp"
#include "load.pb.h"
#include "log_event.hpp"

#include <utility>

namespace cyclamenrun
{

namespace
{

/** Records that lapsed in an outage come back for this long after it. */
constexpr milliseconds doubt_after_outage{1200};

/**
 * Gateways that hear of each other's reads wait for a time between this part
 * of the pause and all of it, and the first to wake reads for all. On a day on
 * which 25 gateways called the directory 3,150 times they call it 2,135 times.
 */
constexpr double least_part_of_pause = 0.5;

/**
 * What others read is waited for so long, as a part of the time after which a
 * leaving upstream must get no work; the rest is for an own read.
 */
constexpr double part_of_bound = 0.7;

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
    follow_configurations(settings);
    follow_upstreams(settings);
}

void directory_watch::stop()
{
    configurations_.reset();
    upstreams_.reset();
}

template <typename Hooks>
void directory_watch::add_common_hooks(Hooks& hooks, std::string_view feed)
{
    hooks.regained = [this, feed](duration away) {
        // Either feed: the other may have waited through a short outage
        // unaware.
        doubt_until_ = context_.reactor->now() + doubt_after_outage;
        regained(feed, away);
        directory_is_back();
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

void directory_watch::follow_configurations(const gateway_settings& settings)
{
    feed_pace pace;
    pace.wait = settings.configuration_wait;
    feed_follower<gateway_configuration>::hooks on;
    add_common_hooks(on, configuration_feed_name);
    on.items = [this](std::vector<gateway_configuration>&& versions, bool) {
        take_configurations(std::move(versions));
    };
    on.current = [this](boot_time asked) {
        context_.lease.renew(asked);
        note_lease();
    };
    configurations_ = std::make_shared<feed_follower<gateway_configuration>>(
        context_.reactor,
        platform_.configurations(context_.reactor, settings.directory), pace,
        std::move(on));
    configurations_->start();
}

void directory_watch::follow_upstreams(const gateway_settings& settings)
{
    feed_pace pace;
    pace.wait = settings.upstream_wait;
    pace.longest_put_off = std::chrono::duration_cast<milliseconds>(
        part_of_bound * settings.leaving_bound);
    feed_follower<upstream_change>::hooks on;
    add_common_hooks(on, upstream_feed_name);
    on.items = [this](std::vector<upstream_change>&& changes, bool whole) {
        take_upstreams(std::move(changes), whole);
    };
    on.read = [this](std::uint64_t from,
                     const directory_page<upstream_change>& page) {
        tell_news(from, page);
    };
    on.reading = [this](std::uint64_t from) { tell_reading(from); };
    on.pause = [this, longest = settings.upstream_pause] {
        return pause(longest);
    };
    upstreams_ = std::make_shared<feed_follower<upstream_change>>(
        context_.reactor,
        platform_.upstreams(context_.reactor, settings.directory), pace,
        std::move(on));
    upstreams_->start();
}

milliseconds directory_watch::pause(milliseconds longest)
{
    if (!context_.monitors)
        return longest;
    std::uniform_real_distribution<double> part(least_part_of_pause, 1.0);
    return std::chrono::duration_cast<milliseconds>(part(context_.random) *
                                                    longest);
}

void directory_watch::tell_news(std::uint64_t from,
                                const directory_page<upstream_change>& page)
{
    if (!context_.monitors)
        return;
    const auto message = message_of(news_of(from, page, context_.board));
    if (message.ByteSizeLong() <= most_news_bytes)
        context_.monitors->pass_on(message);
}

void directory_watch::tell_reading(std::uint64_t from)
{
    if (context_.monitors)
        context_.monitors->pass_on(message_of({from, {{}, from, {}, {}}}));
}

void directory_watch::take_news(const v1::DirectoryNews& message)
{
    // Nothing is read yet: its call is under way.
    if (message.next() == message.from()) {
        if (upstreams_)
            upstreams_->take_reading(message.from());
        return;
    }
    auto news = read_news(message);
    if (!news) {
        log_event(log_severity::warning, log_event_name::record_unreadable,
                  {{log_key::name, upstream_feed_name},
                   {log_key::reason, name_of(news.error())}});
        return;
    }
    if (!upstreams_ ||
        !upstreams_->take_news(news->from, std::move(news->page)))
        return;
    context_.metrics.count(exported_metric::directory_news);
    directory_is_back();
}

void directory_watch::directory_is_back()
{
    if (configurations_)
        configurations_->try_again_now();
    if (upstreams_)
        upstreams_->try_again_now();
}

void directory_watch::tick()
{
    context_.board.end_doubts(context_.reactor->now());
    note_lease();
}

void directory_watch::note_lease()
{
    const auto now = boot_now();
    const bool held = context_.lease.valid(now);
    if (held == std::exchange(lease_held_, held))
        return;
    const auto age = context_.lease.age(now).value_or(milliseconds(0));
    log_event(
        held ? log_severity::info : log_severity::warning,
        held ? log_event_name::lease_renewed : log_event_name::lease_ended,
        {{log_key::revision, context_.routes ? context_.routes->version() : 0},
         {log_key::age_ms, age}});
}

void directory_watch::take_configurations(
    std::vector<gateway_configuration>&& versions)
{
    for (auto& version : versions) {
        const auto known = context_.routes ? context_.routes->version() : 0;
        // A version that is not newer was overtaken on its way.
        if (context_.routes && version.version <= known)
            continue;
        log_event(log_severity::info, log_event_name::configuration_applied,
                  {{log_key::revision, version.version},
                   {log_key::count, version.routes.size()}});
        context_.routes =
            std::make_shared<const gateway_routes>(std::move(version));
    }
}

void directory_watch::take_upstreams(std::vector<upstream_change>&& changes,
                                     bool whole)
{
    const auto now = context_.reactor->now();
    const bool doubt = now < doubt_until_;
    if (whole)
        context_.board.replace_all(changes, now, doubt);
    else
        for (const auto& change : changes)
            context_.board.apply(change, now, doubt);
    if (!std::exchange(upstreams_known_, true))
        log_event(log_severity::info, log_event_name::vm_list_read,
                  {{log_key::count, context_.board.size()}});
}

void directory_watch::lost(std::string_view feed, directory_problem problem)
{
    log_event(log_severity::warning, log_event_name::directory_lost,
              {{log_key::name, feed}, {log_key::reason, name_of(problem)}});
}

void directory_watch::regained(std::string_view feed, duration away)
{
    log_event(log_severity::info, log_event_name::directory_regained,
              {{log_key::name, feed},
               {log_key::duration_ms,
                std::chrono::duration_cast<milliseconds>(away)}});
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

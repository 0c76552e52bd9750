#include "crash_detector.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cyclamenrun
{

namespace
{

/**
 * A crash that was found counts for further losses for so long, since an
 * upstream's connections do not all break at the same time. A host that is
 * reachable refuses a connection within a few milliseconds; a check without an
 * answer after this time has no result.
 */
constexpr milliseconds check_lifetime{500};
/** Least time from a check that found an upstream alive to the next. */
constexpr milliseconds check_interval{20};
constexpr std::size_t max_checks = 256;
constexpr std::size_t max_waiting_handlers = 1024;

using result_handlers = std::vector<crash_detector::result_handler>;

result_handlers joined(result_handlers first, result_handlers second)
{
    std::move(second.begin(), second.end(), std::back_inserter(first));
    return first;
}

} // namespace

crash_detector::crash_detector(std::shared_ptr<link_reactor> reactor,
                               crash_handler on_crash)
    : reactor_(std::move(reactor)), on_crash_(std::move(on_crash))
{
}

void crash_detector::record_loss(const upstream_record& upstream,
                                 lost_request request)
{
    // At once, so that the next requests are judged by a crash that is known.
    check_now(upstream, [this, upstream, request = std::move(request)](
                            upstream_liveness found) {
        if (found == upstream_liveness::crashed)
            on_crash_(upstream, request);
    });
}

void crash_detector::check(const upstream_record& upstream,
                           result_handler on_result)
{
    check_now(
        upstream, [weak = weak_from_this(),
                   on_result = std::move(on_result)](upstream_liveness found) {
            const auto self = weak.lock();
            if (self)
                self->reactor_->post([on_result, found] { on_result(found); });
        });
}

void crash_detector::check_now(const upstream_record& upstream,
                               result_handler on_result)
{
    remove_expired();
    // A crash of its predecessor under the same id tells nothing of it.
    std::erase_if(checks_, [&](const auto& entry) {
        return entry.first == upstream.id && entry.second.crashed &&
               is_other_process(entry.second.upstream, upstream);
    });
    const auto known = checks_.find(upstream.id);
    const bool is_new = known == checks_.end();
    if (!is_new && known->second.crashed) {
        on_result(upstream_liveness::crashed);
        return;
    }
    const bool is_full =
        is_new ? checks_.size() >= max_checks
               : known->second.waiting.size() >= max_waiting_handlers;
    if (is_full) {
        on_result(upstream_liveness::unchecked);
        return;
    }
    auto& found = checks_[upstream.id];
    found.upstream = upstream;
    found.waiting.push_back(std::move(on_result));
    if (!found.connection && found.waiting.size() == 1)
        schedule_check(upstream.id);
}

void crash_detector::answer(const std::vector<result_handler>& handlers,
                            upstream_liveness result)
{
    for (const auto& each : handlers)
        each(result);
}

void crash_detector::schedule_check(const std::string& upstream_id)
{
    const auto due = checks_.at(upstream_id).next_check;
    if (due <= reactor_->now()) {
        start_check(upstream_id);
        return;
    }
    reactor_->post_at(due, [weak = weak_from_this(), upstream_id] {
        if (const auto self = weak.lock())
            self->start_check(upstream_id);
    });
}

void crash_detector::start_check(const std::string& upstream_id)
{
    const auto found = checks_.find(upstream_id);
    if (found == checks_.end() || found->second.connection ||
        found->second.waiting.empty())
        return;
    auto& started = found->second;
    started.checked = std::exchange(started.waiting, {});
    tcp_connection::hooks on;
    on.connected = [weak = weak_from_this(), upstream_id] {
        if (const auto self = weak.lock())
            self->handle_alive(upstream_id);
    };
    on.ended = [weak = weak_from_this(), upstream_id](connection_end how) {
        const auto self = weak.lock();
        if (self && how == connection_end::refused)
            self->handle_refused(upstream_id);
    };
    started.connection =
        tcp_connection::connect(reactor_, started.upstream.address,
                                connection_timeouts(), std::move(on));
    if (!started.connection) {
        const auto asked = std::exchange(started.checked, {});
        checks_.erase(found);
        answer(asked, upstream_liveness::unchecked);
        return;
    }
    reactor_->post_timeout(reactor_->awake_now() + check_lifetime,
                           [weak = weak_from_this(), upstream_id,
                            connection = std::weak_ptr(started.connection)] {
                               if (const auto self = weak.lock())
                                   self->handle_no_answer(upstream_id,
                                                          connection);
                           });
}

void crash_detector::end_connection(upstream_check& ended)
{
    if (const auto connection = std::exchange(ended.connection, nullptr))
        connection->close();
}

void crash_detector::handle_alive(const std::string& upstream_id)
{
    const auto found = checks_.find(upstream_id);
    if (found == checks_.end())
        return;
    auto& checked = found->second;
    end_connection(checked);
    const auto asked = std::exchange(checked.checked, {});
    checked.next_check = reactor_->now() + check_interval;
    if (!checked.waiting.empty())
        schedule_check(upstream_id);
    // Last, since the handlers may ask again.
    answer(asked, upstream_liveness::alive);
}

void crash_detector::handle_refused(const std::string& upstream_id)
{
    const auto found = checks_.find(upstream_id);
    if (found == checks_.end() || found->second.crashed)
        return;
    auto& known = found->second;
    known.crashed = true;
    known.expires_at = reactor_->now() + check_lifetime;
    known.connection.reset();
    const auto asked = joined(std::exchange(known.checked, {}),
                              std::exchange(known.waiting, {}));
    answer(asked, upstream_liveness::crashed);
}

void crash_detector::handle_no_answer(
    const std::string& upstream_id,
    const std::weak_ptr<tcp_connection>& connection)
{
    const auto found = checks_.find(upstream_id);
    const auto unanswered = connection.lock();
    if (!unanswered || found == checks_.end() ||
        found->second.connection != unanswered)
        return;
    end_connection(found->second);
    const auto asked = joined(std::exchange(found->second.checked, {}),
                              std::exchange(found->second.waiting, {}));
    checks_.erase(found);
    answer(asked, upstream_liveness::unknown);
}

void crash_detector::remove_expired()
{
    const auto now = reactor_->now();
    std::erase_if(checks_, [now](const auto& entry) {
        const auto& each = entry.second;
        if (each.crashed)
            return now >= each.expires_at;
        return !each.connection && each.waiting.empty() &&
               now >= each.next_check;
    });
}

void crash_detector::stop()
{
    for (auto& [id, each] : checks_)
        if (each.connection)
            each.connection->close();
    checks_.clear();
}

} // namespace cyclamenrun

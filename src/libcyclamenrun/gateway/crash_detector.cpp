#include "crash_detector.hpp"

#include <utility>

namespace cyclamenrun
{

namespace
{

/**
 * A host that is reachable refuses a connection within a few milliseconds. The
 * result is kept as long, since an upstream's connections do not all break at
 * the same time.
 */
constexpr milliseconds check_lifetime{500};
constexpr std::size_t max_checks = 256;
constexpr std::size_t max_lost_requests = 1024;

} // namespace

crash_detector::crash_detector(std::shared_ptr<link_reactor> reactor,
                               crash_handler on_crash)
    : reactor_(std::move(reactor)), on_crash_(std::move(on_crash))
{
}

void crash_detector::record_loss(const upstream_record& upstream,
                                 lost_request request)
{
    remove_expired();
    const auto known = checks_.find(upstream.id);
    if (known != checks_.end() && known->second.crashed) {
        on_crash_(upstream, request);
        return;
    }
    if (known != checks_.end()) {
        if (known->second.lost.size() < max_lost_requests)
            known->second.lost.push_back(std::move(request));
        return;
    }
    if (checks_.size() >= max_checks)
        return;
    auto& started = checks_[upstream.id];
    started.upstream = upstream;
    started.lost.push_back(std::move(request));
    started.expires_at = reactor_->now() + check_lifetime;
    start_check(started);
}

void crash_detector::start_check(check& started)
{
    tcp_connection::hooks on;
    on.connected = [weak = weak_from_this(), id = started.upstream.id] {
        const auto self = weak.lock();
        if (!self)
            return;
        const auto found = self->checks_.find(id);
        if (found == self->checks_.end())
            return;
        found->second.lost.clear();
        if (const auto connection =
                std::exchange(found->second.connection, nullptr))
            connection->close();
    };
    on.ended = [weak = weak_from_this(),
                id = started.upstream.id](connection_end how) {
        const auto self = weak.lock();
        if (self && how == connection_end::refused)
            self->handle_refused(id);
    };
    started.connection =
        tcp_connection::connect(reactor_, started.upstream.address,
                                connection_timeouts(), std::move(on));
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
    const auto upstream = known.upstream;
    for (const auto& request : std::exchange(known.lost, {}))
        on_crash_(upstream, request);
}

void crash_detector::remove_expired()
{
    const auto now = reactor_->now();
    std::erase_if(checks_, [now](auto& entry) {
        auto& each = entry.second;
        if (now < each.expires_at)
            return false;
        if (each.connection)
            each.connection->close();
        return true;
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

#include "upstream_connections.hpp"

#include <numeric>

namespace cyclamenrun
{

std::shared_ptr<tcp_connection>
upstream_connections::acquire(const upstream_record& upstream, time_point now)
{
    const auto found = idle_.find(upstream.id);
    while (found != idle_.end() && !found->second.empty()) {
        // The peer is least likely to close the most recently used connection.
        auto last = std::move(found->second.back());
        found->second.pop_back();
        if (last.connection->open() && now < last.until)
            return std::move(last.connection);
        last.connection->close();
    }
    return open(upstream);
}

std::shared_ptr<tcp_connection>
upstream_connections::open(const upstream_record& upstream,
                           const connection_timeouts& timeouts)
{
    return tcp_connection::connect(reactor_, upstream.address, timeouts, {});
}

void upstream_connections::keep(const std::string& upstream_id,
                                std::shared_ptr<tcp_connection> connection,
                                time_point until)
{
    auto& kept = idle_[upstream_id];
    if (kept.size() >= max_idle_connections || !connection->open()) {
        connection->close();
        return;
    }
    tcp_connection::hooks on;
    on.received = [weak = std::weak_ptr(connection)](std::string_view) {
        if (const auto stray = weak.lock())
            stray->close();
    };
    connection->replace_hooks(std::move(on));
    kept.push_back({std::move(connection), until});
}

void upstream_connections::remove(const std::string& upstream_id)
{
    const auto found = idle_.find(upstream_id);
    if (found == idle_.end())
        return;
    for (const auto& idle : found->second)
        idle.connection->close();
    idle_.erase(found);
}

std::size_t upstream_connections::size() const
{
    return std::accumulate(idle_.begin(), idle_.end(), std::size_t(0),
                           [](std::size_t sum, const auto& entry) {
                               return sum + entry.second.size();
                           });
}

} // namespace cyclamenrun

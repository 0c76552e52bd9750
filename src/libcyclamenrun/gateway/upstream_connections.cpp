#include "upstream_channels.hpp"

#include <numeric>

namespace cyclamenrun
{

upstream_channel upstream_channels::take(const upstream_record& upstream,
                                         time_point now)
{
    const auto found = idle_.find(upstream.id);
    while (found != idle_.end() && !found->second.empty()) {
        // The one used last is the least likely to be closed by its peer.
        auto last = std::move(found->second.back());
        found->second.pop_back();
        if (last.channel->open() && now < last.until)
            return {std::move(last.channel), true};
        last.channel->close();
    }
    return open(upstream);
}

upstream_channel upstream_channels::open(const upstream_record& upstream,
                                         const channel_patience& patience)
{
    return {tcp_channel::connect(reactor_, upstream.address, patience, {}),
            false};
}

void upstream_channels::keep(const std::string& upstream_id,
                             std::shared_ptr<tcp_channel> channel,
                             time_point until)
{
    auto& kept = idle_[upstream_id];
    if (kept.size() >= most_idle_channels || !channel->open()) {
        channel->close();
        return;
    }
    tcp_channel::hooks on;
    on.received = [weak = std::weak_ptr(channel)](std::string_view) {
        if (const auto stray = weak.lock())
            stray->close();
    };
    channel->replace_hooks(std::move(on));
    kept.push_back({std::move(channel), until});
}

void upstream_channels::forget(const std::string& upstream_id)
{
    const auto found = idle_.find(upstream_id);
    if (found == idle_.end())
        return;
    for (const auto& idle : found->second)
        idle.channel->close();
    idle_.erase(found);
}

std::size_t upstream_channels::size() const
{
    return std::accumulate(idle_.begin(), idle_.end(), std::size_t(0),
                           [](std::size_t sum, const auto& entry) {
                               return sum + entry.second.size();
                           });
}

} // namespace cyclamenrun

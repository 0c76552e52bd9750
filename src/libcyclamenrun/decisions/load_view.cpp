#include "load_view.hpp"

#include <algorithm>

namespace cyclamenrun
{

namespace
{

// Bounds the memory while no report arrives; the oldest dispatches are dropped.
constexpr std::size_t max_since = 256;

} // namespace

void load_view::report(const load_report& latest, time_point now)
{
    const bool same_life =
        reported_ && report_.incarnation == latest.incarnation;
    // Reports arrive in replies and in heartbeats and may overtake each other.
    if (same_life && latest.uptime < report_.uptime)
        return;
    const time_point start = now - latest.uptime;
    agent_start_ = same_life ? std::min(agent_start_, start) : start;
    report_ = latest;
    reported_ = true;
    const time_point made = agent_start_ + latest.uptime;
    while (!since_.empty() && since_.front().at <= made) {
        since_tokens_ -= since_.front().tokens;
        since_.pop_front();
    }
}

void load_view::dispatched(std::uint64_t tokens, time_point now)
{
    ++unsettled_;
    since_.push_back({now, tokens});
    since_tokens_ += tokens;
    if (since_.size() <= max_since)
        return;
    since_tokens_ -= since_.front().tokens;
    since_.pop_front();
}

void load_view::settled()
{
    if (unsettled_ > 0)
        --unsettled_;
}

std::uint32_t load_view::works() const
{
    const std::uint32_t told = report_.running + report_.queued +
                               static_cast<std::uint32_t>(since_.size());
    return std::max(told, unsettled_);
}

double load_view::memory_share() const
{
    if (report_.memory_tokens_total == 0)
        return 0.0;
    return static_cast<double>(report_.memory_tokens_used +
                               report_.queued_tokens + since_tokens_) /
           static_cast<double>(report_.memory_tokens_total);
}

std::uint32_t load_view::waiting() const
{
    return report_.queued + static_cast<std::uint32_t>(since_.size());
}

milliseconds load_view::expected_wait() const
{
    if (report_.queued == 0)
        return milliseconds(0);
    const auto each =
        report_.expected_wait / static_cast<std::int64_t>(report_.queued + 1);
    return report_.expected_wait +
           each * static_cast<std::int64_t>(since_.size());
}

} // namespace cyclamenrun

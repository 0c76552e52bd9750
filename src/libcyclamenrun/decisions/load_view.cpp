#include "load_view.hpp"

#include <algorithm>

namespace cyclamenrun
{

namespace
{

// Bounds the memory while no report arrives; the oldest dispatches are dropped.
constexpr std::size_t max_dispatches = 256;

} // namespace

void load_view::update_report(const load_report& latest, time_point now)
{
    const bool same_incarnation =
        reported_ && report_.incarnation == latest.incarnation;
    // Reports arrive in replies and in heartbeats and may overtake each other.
    if (same_incarnation && latest.uptime < report_.uptime)
        return;
    const time_point start = now - latest.uptime;
    agent_start_ = same_incarnation ? std::min(agent_start_, start) : start;
    report_ = latest;
    reported_ = true;
    const time_point made_at = agent_start_ + latest.uptime;
    while (!dispatches_.empty() && dispatches_.front().at <= made_at) {
        dispatched_tokens_ -= dispatches_.front().tokens;
        dispatches_.pop_front();
    }
}

void load_view::record_dispatch(std::uint64_t prompt_tokens, time_point now)
{
    ++outstanding_;
    dispatches_.push_back({now, prompt_tokens});
    dispatched_tokens_ += prompt_tokens;
    if (dispatches_.size() <= max_dispatches)
        return;
    dispatched_tokens_ -= dispatches_.front().tokens;
    dispatches_.pop_front();
}

void load_view::record_completion()
{
    if (outstanding_ > 0)
        --outstanding_;
}

std::uint32_t load_view::work_items() const
{
    const std::uint32_t reported_items =
        report_.running + report_.queued +
        static_cast<std::uint32_t>(dispatches_.size());
    return std::max(reported_items, outstanding_);
}

double load_view::memory_share() const
{
    if (report_.memory_tokens_total == 0)
        return 0.0;
    return static_cast<double>(report_.memory_tokens_used +
                               report_.queued_tokens + dispatched_tokens_) /
           static_cast<double>(report_.memory_tokens_total);
}

std::uint32_t load_view::waiting() const
{
    return report_.queued + static_cast<std::uint32_t>(dispatches_.size());
}

milliseconds load_view::expected_wait() const
{
    if (report_.queued == 0)
        return milliseconds(0);
    const auto wait_per_item =
        report_.expected_wait / static_cast<std::int64_t>(report_.queued + 1);
    return report_.expected_wait +
           wait_per_item * static_cast<std::int64_t>(dispatches_.size());
}

} // namespace cyclamenrun

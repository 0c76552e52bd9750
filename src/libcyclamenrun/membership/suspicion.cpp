#include "suspicion.hpp"

#include <algorithm>

namespace cyclamenrun
{

namespace
{

// A lost connection, recent failures and up to four missed heartbeats give at
// most 2 points each, fewer than points_to_suspect.
constexpr int lost_connection_points = 2;
constexpr std::uint32_t max_failure_points = 2;

} // namespace

void suspicion::on_connection_lost(time_point now)
{
    connection_lost_ = true;
    reevaluate(now);
}

void suspicion::on_connected()
{
    connection_lost_ = false;
}

void suspicion::on_missed_heartbeat(time_point now)
{
    ++missed_heartbeats_;
    reevaluate(now);
}

void suspicion::on_failure(time_point now)
{
    if (now >= failures_expire_at_)
        failures_ = 0;
    ++failures_;
    failures_expire_at_ = now + failure_window;
    reevaluate(now);
}

void suspicion::on_reply(time_point now)
{
    connection_lost_ = false;
    missed_heartbeats_ = 0;
    ++replies_;
    // A single reply may have been buffered since before the failure.
    if (suspected_ && replies_ >= replies_to_clear &&
        points(now) < points_to_suspect)
        suspected_ = false;
}

void suspicion::reevaluate(time_point now)
{
    replies_ = 0;
    if (suspected_ || points(now) < points_to_suspect)
        return;
    suspected_ = true;
    since_ = now;
}

int suspicion::points(time_point now) const
{
    int sum = missed_heartbeat_points();
    if (connection_lost_)
        sum += lost_connection_points;
    if (now < failures_expire_at_)
        sum += static_cast<int>(std::min(failures_, max_failure_points));
    return sum;
}

int suspicion::missed_heartbeat_points() const
{
    if (missed_heartbeats_ >= missed_heartbeats_to_suspect)
        return points_to_suspect;
    return static_cast<int>(std::min<std::uint32_t>(missed_heartbeats_, 2));
}

} // namespace cyclamenrun

#include "link_keepalive.hpp"

namespace cyclamenrun
{

link_keepalive::link_keepalive(const link_limits& limits, time_point now)
    : busy_ping_after_(limits.busy_ping_after),
      idle_ping_after_(limits.idle_ping_after),
      ping_timeout_(limits.ping_timeout), last_received_(now)
{
}

void link_keepalive::received(time_point now)
{
    last_received_ = now;
    ping_deadline_.reset();
}

time_point link_keepalive::next_check(bool busy) const
{
    if (ping_deadline_)
        return *ping_deadline_;
    return last_received_ + (busy ? busy_ping_after_ : idle_ping_after_);
}

keepalive_step link_keepalive::step(time_point now, bool busy)
{
    if (now < next_check(busy))
        return keepalive_step::wait;
    if (ping_deadline_)
        return keepalive_step::disconnect;
    ping_deadline_ = now + ping_timeout_;
    return keepalive_step::ping;
}

} // namespace cyclamenrun

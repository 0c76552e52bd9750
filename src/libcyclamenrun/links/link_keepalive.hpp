#ifndef CYCLAMENRUN_LINK_KEEPALIVE_HPP
#define CYCLAMENRUN_LINK_KEEPALIVE_HPP

#include "clock.hpp"
#include "link_limits.hpp"

#include <cstdint>
#include <optional>

namespace cyclamenrun
{

/** What a connection is to do next. */
enum class keepalive_step : std::uint8_t { wait, ping, disconnect };

/**
 * Decides when a PING is sent to a peer and when the peer has timed out. This
 * detects a frozen process or a stalled link within seconds; TCP alone would
 * keep the connection open for minutes.
 */
class link_keepalive
{
public:
    link_keepalive(const link_limits& limits, time_point now);

    /** Records that data of any kind was received from the peer. */
    void received(time_point now);
    /**
     * Returns the action due at `now`. If it is `ping`, the caller must send
     * a PING, whose answer is then awaited.
     */
    keepalive_step step(time_point now, bool busy);
    /** Time at which step() is to be called if no data is received before. */
    time_point next_check(bool busy) const;

private:
    duration busy_ping_after_;
    duration idle_ping_after_;
    duration ping_timeout_;
    time_point last_received_;
    std::optional<time_point> ping_deadline_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LINK_KEEPALIVE_HPP

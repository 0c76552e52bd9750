#ifndef CYCLAMENRUN_LINK_KEEPALIVE_HPP
#define CYCLAMENRUN_LINK_KEEPALIVE_HPP

#include "clock.hpp"
#include "link_limits.hpp"

#include <cstdint>
#include <optional>

namespace cyclamenrun
{

enum class keepalive_step : std::uint8_t { wait, ping, give_up };

/**
 * Decides when a silent peer is asked for a sign of life and when it is given
 * up. It finds a frozen process and a stalled link, which TCP alone would
 * hold open for minutes.
 */
class link_keepalive
{
public:
    link_keepalive(const link_limits& limits, time_point now);

    /** Any byte from the peer is a sign of life. */
    void received(time_point now);
    /** What is to be done now; a ping is taken as sent. */
    keepalive_step step(time_point now, bool busy);
    /** When to call step() next if nothing arrives. */
    time_point next_check(bool busy) const;

private:
    duration busy_ping_after_;
    duration idle_ping_after_;
    duration ping_time_;
    time_point last_received_;
    std::optional<time_point> ping_deadline_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LINK_KEEPALIVE_HPP

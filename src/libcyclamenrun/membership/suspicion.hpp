#ifndef CYCLAMENRUN_SUSPICION_HPP
#define CYCLAMENRUN_SUSPICION_HPP

#include "clock.hpp"

#include <cstdint>

namespace cyclamenrun
{

/**
 * Decides from signs of failure whether one upstream is a suspect. A network
 * fault can cause a lost connection, a paused process can miss a heartbeat, and
 * an overloaded process can fail to respond. Signs of one kind are therefore
 * not enough, except for `missed_heartbeats_to_suspect` heartbeats missed in a
 * row. Two replies in a row clear the suspicion.
 */
class suspicion
{
public:
    void on_connection_lost(time_point now);
    void on_connected();
    void on_missed_heartbeat(time_point now);
    /** Records that the agent was lost while it had work of this entry. */
    void on_failure(time_point now);
    void on_reply(time_point now);

    bool suspected() const { return suspected_; }
    /** When the upstream last became a suspect. */
    time_point since() const { return since_; }

    /** An upstream with this sum of points for its signs is a suspect. */
    static constexpr int points_to_suspect = 3;
    /** Missed heartbeats in a row that alone make an upstream a suspect. */
    static constexpr std::uint32_t missed_heartbeats_to_suspect = 5;
    /** Replies in a row that clear the suspicion. */
    static constexpr std::uint32_t replies_to_clear = 2;
    /** Failures count until this time after the last one. */
    static constexpr milliseconds failure_window{30'000};

private:
    void reevaluate(time_point now);
    int points(time_point now) const;
    int missed_heartbeat_points() const;

    bool connection_lost_ = false;
    std::uint32_t missed_heartbeats_ = 0; ///< in a row
    std::uint32_t failures_ = 0;
    time_point failures_expire_at_{};
    std::uint32_t replies_ = 0; ///< since the last sign of failure
    bool suspected_ = false;
    time_point since_{};
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SUSPICION_HPP

#ifndef CYCLAMENRUN_LOAD_VIEW_HPP
#define CYCLAMENRUN_LOAD_VIEW_HPP

#include "load_report.hpp"

#include <cstdint>
#include <deque>

namespace cyclamenrun
{

/**
 * What one entry knows of one upstream's load: the last report, and what the
 * entry itself has sent there since that report was made. Without the latter
 * all requests of a burst would go to whoever looked idle in the last report.
 *
 * A report's age is told from the agent's uptime in it: the quickest report
 * seen gives the offset between the two clocks, and a later one that is
 * behind it is late by as much.
 */
class load_view
{
public:
    void report(const load_report& latest, time_point now);
    void dispatched(std::uint64_t tokens, time_point now);
    /** A dispatch has ended, whichever way. */
    void settled();

    bool leaving() const { return report_.leaving; }
    bool reported() const { return reported_; }
    /** Running and queued there, own dispatches since included. */
    std::uint32_t works() const;
    /** Share of memory taken or about to be, 0 when not known. */
    double memory_share() const;
    /** Works that wait there, as far as known. */
    std::uint32_t waiting() const;
    /** Expected wait of new work, own dispatches since included. */
    milliseconds expected_wait() const;
    std::uint32_t own_unsettled() const { return unsettled_; }

private:
    struct dispatch {
        time_point at;
        std::uint64_t tokens;
    };

    load_report report_;
    bool reported_ = false;
    time_point agent_start_{}; ///< by this clock; the earliest estimate
    std::deque<dispatch> since_;
    std::uint64_t since_tokens_ = 0;
    std::uint32_t unsettled_ = 0;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LOAD_VIEW_HPP

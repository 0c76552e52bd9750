#ifndef CYCLAMENRUN_LOAD_VIEW_HPP
#define CYCLAMENRUN_LOAD_VIEW_HPP

#include "load_report.hpp"

#include <cstdint>
#include <deque>

namespace cyclamenrun
{

/**
 * An entry's estimate of one upstream's load: the last report, and the
 * entry's own dispatches since that report was made. Without the dispatches,
 * all requests of a burst would go to the upstream that is idle in the last
 * report.
 *
 * The agent's uptime in a report tells when the report was made. The report
 * with the least delay gives the offset between the agent's uptime and the
 * local clock, and the delay of every other report follows from that offset.
 */
class load_view
{
public:
    void update_report(const load_report& latest, time_point now);
    void record_dispatch(std::uint64_t prompt_tokens, time_point now);
    /** Records that a dispatch has completed, with any result. */
    void record_completion();

    bool leaving() const { return report_.leaving; }
    bool reported() const { return reported_; }
    /** Running and queued work items, own dispatches included. */
    std::uint32_t work_items() const;
    /**
     * Share of the memory that is in use or needed by the prompts of queued
     * work, own dispatches included; 0 if unknown.
     */
    double memory_share() const;
    /** Queued work items, own dispatches included. */
    std::uint32_t waiting() const;
    /** Expected wait of a new work item, own dispatches included. */
    milliseconds expected_wait() const;
    /** Own dispatches that have not completed. */
    std::uint32_t outstanding() const { return outstanding_; }

private:
    struct dispatch {
        time_point at;
        std::uint64_t tokens;
    };

    load_report report_;
    bool reported_ = false;
    time_point agent_start_{}; ///< by the local clock; the earliest estimate
    std::deque<dispatch> dispatches_;     ///< sent after the report was made
    std::uint64_t dispatched_tokens_ = 0; ///< of dispatches_
    std::uint32_t outstanding_ = 0;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LOAD_VIEW_HPP

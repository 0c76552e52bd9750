#ifndef CYCLAMENRUN_UPSTREAM_VIEW_HPP
#define CYCLAMENRUN_UPSTREAM_VIEW_HPP

#include "clock.hpp"
#include "suspicion.hpp"
#include "vm_list.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/** An upstream's state at an entry. The first three may receive new work. */
enum class upstream_condition : std::uint8_t {
    joining, ///< listed, but no report received yet
    live,
    suspect, ///< probably failed: used only if no other upstream is usable
    leaving, ///< by the list or by the agent's report
    gone,    ///< no longer listed
    unready, ///< its agent responds, but the upstream itself does not
};

std::string_view name_of(upstream_condition state);

/** Whether an upstream in this state may receive new work. */
bool accepts_work(upstream_condition state);

/** The state that an agent reports with each answer and heartbeat. */
struct agent_report {
    std::uint64_t incarnation = 0;
    bool leaving = false;
    bool ready = true; ///< the upstream itself responds to its agent
};

/**
 * One entry's view of one upstream, from the list, the agent's reports and
 * signs of failure.
 */
class upstream_view
{
public:
    void on_listed(const vm& listed);
    /** Handles an upstream that is not in the list; see is_forgotten(). */
    void on_unlisted(time_point forget_at);

    /**
     * Handles a report of the upstream's agent. Returns false, without effect,
     * if the report comes from an incarnation that was replaced.
     */
    bool on_report(const agent_report& report);

    suspicion& failure_suspicion() { return failure_suspicion_; }
    const suspicion& failure_suspicion() const { return failure_suspicion_; }
    const vm& listed() const { return listed_; }
    std::uint64_t incarnation() const { return incarnation_; }
    upstream_condition state() const;
    /** Whether the upstream left the list and its view is to be dropped. */
    bool is_forgotten(time_point now) const;

private:
    bool is_replaced(std::uint64_t incarnation) const;

    vm listed_;
    bool in_list_ = false;
    time_point forget_at_ = time_point::max();
    std::uint64_t incarnation_ = 0;
    std::array<std::uint64_t, 4> replaced_{}; ///< latest old incarnations
    std::size_t replacements_ = 0;            ///< of incarnations, in total
    bool agent_leaving_ = false;
    bool ready_ = true;
    suspicion failure_suspicion_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_UPSTREAM_VIEW_HPP

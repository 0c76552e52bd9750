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
enum class upstream_state : std::uint8_t {
    joining, ///< listed, but no report received yet
    live,
    suspect, ///< probably failed: used only if no other upstream is usable
    leaving, ///< reported by the list or by the agent
    gone,    ///< not listed
    unready, ///< its agent responds, but the upstream itself does not
};

std::string_view name_of(upstream_state state);

/** Whether an upstream in this state may receive new work. */
bool accepts_work(upstream_state state);

/** The state that an agent reports with each answer and heartbeat. */
struct agent_report {
    std::uint64_t incarnation = 0;
    bool leaving = false;
    bool ready = true; ///< the upstream itself responds to its agent
};

/** The state of one upstream as one entry knows it, from the list, reports and
 * failures. */
class upstream_view
{
public:
    void on_listed(const vm& listed);
    void on_unlisted(time_point forget_at);

    /** Returns false, without effect, for a report of a replaced agent. */
    bool on_report(const agent_report& report);

    suspicion& failure_suspicion() { return signals_; }
    const suspicion& failure_suspicion() const { return signals_; }
    const vm& listed() const { return listed_; }
    std::uint64_t incarnation() const { return incarnation_; }
    upstream_state state() const;
    bool is_forgotten(time_point now) const;

private:
    bool is_replaced(std::uint64_t incarnation) const;

    vm listed_;
    bool in_list_ = false;
    time_point forget_at_ = time_point::max();
    std::uint64_t incarnation_ = 0;
    std::array<std::uint64_t, 4> replaced_{};
    std::size_t replacements_ = 0;
    bool agent_leaving_ = false;
    bool ready_ = true;
    suspicion signals_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_UPSTREAM_VIEW_HPP

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

/** What an entry makes of an upstream; new work goes to the first three. */
enum class upstream_state : std::uint8_t {
    joining, ///< listed, not yet heard of
    live,
    suspect, ///< more than one sign speaks against it: the last resort
    leaving, ///< by the list's word or the agent's
    gone,    ///< no longer listed
    unready, ///< its agent answers, but the upstream itself does not
};

std::string_view name_of(upstream_state state);

/** May be given new work. */
bool takes_work(upstream_state state);

/** What an agent says of itself with each answer and heartbeat. */
struct agent_report {
    std::uint64_t incarnation = 0;
    bool leaving = false;
    bool ready = true; ///< the upstream itself answers its agent
};

/** Everything that one entry knows of one upstream. */
class upstream_view
{
public:
    void on_listed(const vm& listed);
    void on_unlisted(time_point forget_at);

    /** False for the late word of an agent that was replaced since. */
    bool on_report(const agent_report& report);

    suspicion& signals() { return signals_; }
    const suspicion& signals() const { return signals_; }
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

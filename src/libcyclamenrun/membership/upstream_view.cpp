#include "upstream_view.hpp"

#include <algorithm>

namespace cyclamenrun
{

namespace
{

constexpr std::array<std::string_view, 6> state_names{
    "joining", "live", "suspect", "leaving", "gone", "unready"};

} // namespace

std::string_view name_of(upstream_condition state)
{
    return state_names.at(static_cast<std::size_t>(state));
}

bool accepts_work(upstream_condition state)
{
    return state <= upstream_condition::suspect;
}

void upstream_view::on_listed(const vm& listed)
{
    listed_ = listed;
    in_list_ = true;
    forget_at_ = time_point::max();
}

void upstream_view::on_unlisted(time_point forget_at)
{
    if (!in_list_)
        return;
    in_list_ = false;
    forget_at_ = forget_at;
}

bool upstream_view::on_report(const agent_report& report)
{
    if (is_replaced(report.incarnation))
        return false;
    if (report.incarnation != incarnation_) {
        if (incarnation_ != 0)
            replaced_.at(replacements_++ % replaced_.size()) = incarnation_;
        incarnation_ = report.incarnation;
        agent_leaving_ = false;
        failure_suspicion_ = suspicion();
    }
    // An incarnation that is leaving stays so. A report that was sent before
    // the drain began may arrive after it and must not reset the state.
    agent_leaving_ = agent_leaving_ || report.leaving;
    ready_ = report.ready;
    return true;
}

upstream_condition upstream_view::state() const
{
    if (!in_list_)
        return upstream_condition::gone;
    if (agent_leaving_ || listed_.state == vm_state::leaving)
        return upstream_condition::leaving;
    if (!ready_)
        return upstream_condition::unready;
    if (failure_suspicion_.suspected())
        return upstream_condition::suspect;
    return incarnation_ == 0 ? upstream_condition::joining
                             : upstream_condition::live;
}

bool upstream_view::is_forgotten(time_point now) const
{
    return !in_list_ && now >= forget_at_;
}

bool upstream_view::is_replaced(std::uint64_t incarnation) const
{
    const auto known = std::min(replacements_, replaced_.size());
    const auto* const end = replaced_.begin() + known;
    return std::find(replaced_.begin(), end, incarnation) != end;
}

} // namespace cyclamenrun

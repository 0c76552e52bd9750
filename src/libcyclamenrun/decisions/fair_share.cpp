#include "fair_share.hpp"

#include <algorithm>

namespace cyclamenrun
{

fair_share::account& fair_share::open(const std::string& team,
                                      std::uint32_t weight)
{
    auto [found, is_new] = accounts_.try_emplace(team);
    account& opened = found->second;
    if (is_new)
        opened.team = team;
    else if (opened.open_count == 0)
        --idle_;
    opened.weight = std::max(weight, 1U);
    ++opened.open_count;
    return opened;
}

void fair_share::close(account& target)
{
    if (--target.open_count > 0)
        return;
    ++idle_;
    if (idle_ > max_idle_)
        drop_idle();
}

void fair_share::drop_idle()
{
    // Dropping an account at or below the virtual time loses nothing, since
    // raise_to_virtual_time() raises a new one to it. If that frees too few,
    // the idle accounts above the virtual time are dropped too, to keep the
    // bound.
    const auto at_virtual_time = [this](const auto& item) {
        return item.second.open_count == 0 &&
               item.second.counter <= virtual_time_;
    };
    const auto idle = [](const auto& item) {
        return item.second.open_count == 0;
    };
    idle_ -= std::erase_if(accounts_, at_virtual_time);
    if (idle_ > max_idle_)
        idle_ -= std::erase_if(accounts_, idle);
}

void fair_share::raise_to_virtual_time(account& target,
                                       double lowest_waiting) const
{
    target.counter =
        std::max(target.counter, std::min(virtual_time_, lowest_waiting));
}

void fair_share::charge(account& target, double tokens)
{
    target.counter += tokens / target.weight;
}

void fair_share::record_served(const account& target)
{
    virtual_time_ = std::max(virtual_time_, target.counter);
}

} // namespace cyclamenrun

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
    else if (opened.holders == 0)
        --idle_;
    opened.weight = std::max(weight, 1U);
    ++opened.holders;
    return opened;
}

void fair_share::close(account& of)
{
    if (--of.holders > 0)
        return;
    ++idle_;
    if (idle_ > max_idle_)
        drop_idle();
}

void fair_share::drop_idle()
{
    // An account at the floor loses nothing, since lift() raises a new one to
    // it. If that frees too few, all idle accounts are dropped with their
    // debts to keep the bound.
    const auto paid_up = [this](const auto& item) {
        return item.second.holders == 0 && item.second.counter <= floor_;
    };
    const auto unheld = [](const auto& item) {
        return item.second.holders == 0;
    };
    idle_ -= std::erase_if(accounts_, paid_up);
    if (idle_ > max_idle_)
        idle_ -= std::erase_if(accounts_, unheld);
}

void fair_share::lift(account& of, double least_waiting) const
{
    of.counter = std::max(of.counter, std::min(floor_, least_waiting));
}

void fair_share::charge(account& of, double tokens)
{
    of.counter += tokens / of.weight;
}

void fair_share::served(const account& of)
{
    floor_ = std::max(floor_, of.counter);
}

} // namespace cyclamenrun

#include "policy.hpp"

#include <algorithm>
#include <array>

namespace cyclamenrun::bench
{

namespace
{

constexpr std::array<std::string_view, 4> policy_names = {
    "round_robin", "least_load", "cyclamenrun", "oracle"};

constexpr std::array<std::string_view, 9> fault_kind_names = {
    "none",         "engine_lost", "engine_reclaimed",
    "late_reports", "cache_gaps",  "entry_lost",
    "domain_cut",   "heavy_team",  "poison"};

template <typename Kind, std::size_t Count>
std::optional<Kind> find(const std::array<std::string_view, Count>& names,
                         std::string_view name)
{
    const auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end())
        return std::nullopt;
    return static_cast<Kind>(found - names.begin());
}

} // namespace

std::string_view name_of(policy_kind kind)
{
    return policy_names[static_cast<std::size_t>(kind)];
}

std::optional<policy_kind> policy_kind_of(std::string_view name)
{
    return find<policy_kind>(policy_names, name);
}

bool disable_part(policy& target, std::string_view part)
{
    if (part == "prediction")
        target.prediction = false;
    else if (part == "prefix")
        target.prefix = false;
    else if (part == "fair_share")
        target.fair_share = false;
    else if (part == "own_counts")
        target.own_counts = false;
    else
        return false;
    return true;
}

std::string_view name_of(fault_kind kind)
{
    return fault_kind_names[static_cast<std::size_t>(kind)];
}

std::optional<fault_kind> fault_kind_of(std::string_view name)
{
    return find<fault_kind>(fault_kind_names, name);
}

std::vector<std::string> fault_names()
{
    return {fault_kind_names.begin(), fault_kind_names.end()};
}

} // namespace cyclamenrun::bench

#include "objective.hpp"

#include <array>

namespace cyclamenrun
{

namespace
{

constexpr std::array<std::string_view, 2> objective_names = {
    "stall_time",
    "token_latency",
};

} // namespace

std::string_view name_of(objective goal)
{
    return objective_names[static_cast<std::size_t>(goal) - 1];
}

std::optional<objective> objective_of(std::uint32_t number)
{
    if (number < 1 || number > objective_names.size())
        return std::nullopt;
    return static_cast<objective>(number);
}

} // namespace cyclamenrun

#include "platform_log.hpp"

#include <array>

namespace cyclamenrun
{
namespace
{

constexpr std::array<std::string_view, 6> failure_names{
    "unavailable", "timed_out",     "rate_limited",
    "too_large",   "retained_away", "malformed"};

} // namespace

std::string_view name_of(log_failure failure)
{
    return failure_names.at(static_cast<std::size_t>(failure));
}

} // namespace cyclamenrun

#include "log_severity.hpp"

#include <array>

namespace cyclamenrun
{

namespace
{

constexpr std::array<std::string_view, 3> names{"info", "warning", "error"};

} // namespace

std::string_view name_of(log_severity severity)
{
    return names.at(static_cast<std::size_t>(severity));
}

std::optional<log_severity> parse_log_severity(std::string_view name)
{
    for (std::size_t number = 0; number < names.size(); ++number) {
        if (names.at(number) == name)
            return static_cast<log_severity>(number);
    }
    return std::nullopt;
}

} // namespace cyclamenrun

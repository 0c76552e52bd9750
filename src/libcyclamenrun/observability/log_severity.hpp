#ifndef CYCLAMENRUN_LOG_SEVERITY_HPP
#define CYCLAMENRUN_LOG_SEVERITY_HPP

#include <cstdint>
#include <optional>
#include <string_view>

namespace cyclamenrun
{

/** How much a log event matters; the numbers are those of glog. */
enum class log_severity : std::uint8_t {
    info = 0,    ///< Ordinary course of things.
    warning = 1, ///< Something failed and was dealt with.
    error = 2,   ///< Somebody should look at it.
};

std::string_view name_of(log_severity severity);
std::optional<log_severity> parse_log_severity(std::string_view name);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LOG_SEVERITY_HPP

#ifndef CYCLAMENRUN_LOG_SEVERITY_HPP
#define CYCLAMENRUN_LOG_SEVERITY_HPP

#include <cstdint>
#include <optional>
#include <string_view>

namespace cyclamenrun
{

/** Severity of a log event; the values are those of glog. */
enum class log_severity : std::uint8_t {
    info = 0,    ///< Normal operation.
    warning = 1, ///< A failure that the system handled.
    error = 2,   ///< A failure that needs an operator's attention.
};

std::string_view name_of(log_severity severity);
std::optional<log_severity> parse_log_severity(std::string_view name);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LOG_SEVERITY_HPP

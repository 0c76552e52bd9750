#include "log_rate_limiter.hpp"

#include <algorithm>

namespace cyclamenrun
{

namespace
{

/** Fraction of the budget that is reserved for warnings and errors. */
constexpr double info_reserve = 0.5;
/** Fraction of the budget that is reserved for errors. */
constexpr double warning_reserve = 0.1;

double reserved_fraction(log_severity severity)
{
    switch (severity) {
    case log_severity::info:
        return info_reserve;
    case log_severity::warning:
        return warning_reserve;
    case log_severity::error:
        return 0;
    }
    return 0;
}

} // namespace

log_rate_limiter::log_rate_limiter(double lines_per_s)
    : lines_per_s_(lines_per_s), available_lines_(lines_per_s)
{
}

bool log_rate_limiter::try_consume(log_severity severity, time_point now)
{
    const std::chrono::duration<double> passed = now - refilled_at_;
    refilled_at_ = now;
    available_lines_ = std::min(
        lines_per_s_,
        available_lines_ + std::max(0.0, passed.count()) * lines_per_s_);
    if (available_lines_ < 1 + reserved_fraction(severity) * lines_per_s_)
        return false;
    available_lines_ -= 1;
    return true;
}

} // namespace cyclamenrun

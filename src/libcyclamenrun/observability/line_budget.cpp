#include "line_budget.hpp"

#include <algorithm>

namespace cyclamenrun
{

namespace
{

/** Fraction of the budget that is reserved for warnings and errors. */
constexpr double reserve_of_info = 0.5;
/** Fraction of the budget that is reserved for errors. */
constexpr double reserve_of_warnings = 0.1;

double reserve_of(log_severity severity)
{
    switch (severity) {
    case log_severity::info:
        return reserve_of_info;
    case log_severity::warning:
        return reserve_of_warnings;
    case log_severity::error:
        return 0;
    }
    return 0;
}

} // namespace

line_budget::line_budget(double lines_per_s)
    : lines_per_s_(lines_per_s), left_(lines_per_s)
{
}

bool line_budget::take(log_severity severity, time_point now)
{
    const std::chrono::duration<double> passed = now - filled_at_;
    filled_at_ = now;
    left_ = std::min(lines_per_s_,
                     left_ + std::max(0.0, passed.count()) * lines_per_s_);
    if (left_ < 1 + reserve_of(severity) * lines_per_s_)
        return false;
    left_ -= 1;
    return true;
}

} // namespace cyclamenrun

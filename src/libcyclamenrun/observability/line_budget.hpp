#ifndef CYCLAMENRUN_LINE_BUDGET_HPP
#define CYCLAMENRUN_LINE_BUDGET_HPP

#include "clock.hpp"
#include "log_severity.hpp"

#include <array>
#include <cstdint>

namespace cyclamenrun
{

/** Lines that were left out, by severity. */
struct dropped_lines {
    std::array<std::uint64_t, 3> by_severity{};

    void add(log_severity severity)
    {
        ++by_severity.at(static_cast<std::size_t>(severity));
    }
    std::uint64_t of(log_severity severity) const
    {
        return by_severity.at(static_cast<std::size_t>(severity));
    }
    bool any() const { return by_severity != decltype(by_severity){}; }
};

/**
 * Bounds how many lines a process logs. Guards against a flood of requests
 * or failures that would cost the processor its time for serving: then lines
 * of what went well are left out first, since the rest of the budget is kept
 * for refusals and failures.
 */
class line_budget
{
public:
    /** Up to a second's worth of lines may come at once. */
    explicit line_budget(double lines_per_s);

    /** Whether a line may be logged; takes it from the budget if so. */
    bool take(log_severity severity, time_point now);

private:
    double lines_per_s_;
    double left_;
    time_point filled_at_{};
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LINE_BUDGET_HPP

#ifndef CYCLAMENRUN_LOG_RATE_LIMITER_HPP
#define CYCLAMENRUN_LOG_RATE_LIMITER_HPP

#include "clock.hpp"
#include "log_severity.hpp"

#include <array>
#include <cstdint>

namespace cyclamenrun
{

/** Number of dropped log lines, by severity. */
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
 * Limits the rate at which a process logs lines, as a token bucket. Guards
 * against a flood of requests or failures whose logging would take the CPU
 * time needed for serving. Lines of severity info are dropped first: part of
 * the budget is reserved for warnings and errors.
 */
class log_rate_limiter
{
public:
    /** Allows bursts of up to one second's budget. */
    explicit log_rate_limiter(double lines_per_s);

    /** Returns whether a line may be logged, and consumes budget if so. */
    bool try_consume(log_severity severity, time_point now);

private:
    double lines_per_s_;
    double available_lines_;
    time_point refilled_at_{};
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LOG_RATE_LIMITER_HPP

#ifndef CYCLAMENRUN_METRICS_HPP
#define CYCLAMENRUN_METRICS_HPP

#include "clock.hpp"
#include "metric.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace cyclamenrun
{

/** Statistics of a metric's samples. */
struct metric_summary {
    std::uint64_t count = 0;        ///< since the process started
    double mean = 0;                ///< since the process started
    double maximum = 0;             ///< since the process started
    std::uint64_t recent_count = 0; ///< in the window of the quantiles
    /**
     * Quantiles over the last complete window, or over the current window if
     * the last one has too few samples; empty if both have too few.
     */
    std::optional<double> recent_p50;
    std::optional<double> recent_p99;
};

/**
 * Records the measurements of a process. Each metric has its own lock, so that
 * threads that record different metrics do not contend. Memory use is fixed:
 * quantiles are estimated with the P-square algorithm.
 */
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /** Adds a sample in the unit of the metric. */
    void record(metric id, double value, time_point now);
    /** Adds a sample to a metric whose unit is the millisecond. */
    void record(metric id, duration value, time_point now);

    metric_summary summary(metric id, time_point now) const;

    /** Length of a window; quantiles are computed over one window. */
    static constexpr milliseconds window{60000};

private:
    class metric_samples;
    std::vector<std::unique_ptr<metric_samples>> samples_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_METRICS_HPP

#ifndef CYCLAMENRUN_BENCH_CAPACITY_PROBES_HPP
#define CYCLAMENRUN_BENCH_CAPACITY_PROBES_HPP

#include "linear_fit.hpp"

#include <string>
#include <vector>

namespace cyclamenrun::bench
{

/** How something grows with a size, measured at several sizes. */
struct capacity_slope {
    std::string role;
    std::string what;
    std::string unit; ///< of a value; sizes are counts
    std::vector<sample_point> points;
    linear_fit fit;
};

/** A cost that comes once for each event. */
struct capacity_constant {
    std::string role;
    std::string what;
    std::string unit;
    double value = 0.0;
};

/**
 * Measures the objects that entries and agents hold, in this process: memory
 * as the heap in use tells it, time as the processor time of this thread.
 */
std::vector<capacity_slope> measure_slopes();
std::vector<capacity_constant> measure_constants();

} // namespace cyclamenrun::bench

#endif // CYCLAMENRUN_BENCH_CAPACITY_PROBES_HPP

#ifndef CYCLAMENRUN_BENCH_CAPACITY_PROBES_HPP
#define CYCLAMENRUN_BENCH_CAPACITY_PROBES_HPP

#include "linear_fit.hpp"

#include <string>
#include <vector>

namespace cyclamenrun::bench
{

/** A cost measured at several sizes, and the line fitted to it. */
struct capacity_slope {
    std::string role;
    std::string quantity;
    std::string unit; ///< of the values; sizes are counts
    std::vector<sample_point> points;
    linear_fit fit;
};

/** The fixed cost of one event. */
struct capacity_constant {
    std::string role;
    std::string quantity;
    std::string unit;
    double value = 0.0;
};

/**
 * Measures how costs of entries and agents grow with a size, in this process.
 * Memory is the heap in use (mallinfo2), time is the processor time of the
 * calling thread.
 */
std::vector<capacity_slope> measure_slopes();
/** Measures the processor time and bytes of single events. */
std::vector<capacity_constant> measure_constants();

} // namespace cyclamenrun::bench

#endif // CYCLAMENRUN_BENCH_CAPACITY_PROBES_HPP

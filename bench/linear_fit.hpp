#ifndef CYCLAMENRUN_BENCH_LINEAR_FIT_HPP
#define CYCLAMENRUN_BENCH_LINEAR_FIT_HPP

#include <vector>

namespace cyclamenrun::bench
{

/** A value measured at a size. */
struct sample_point {
    double size = 0.0;
    double value = 0.0;
};

/** A least squares line: value = base + slope * size. */
struct linear_fit {
    double base = 0.0;
    double slope = 0.0;
    /** Largest deviation from the line relative to the largest value. */
    double residual = 0.0;

    double at(double size) const { return base + slope * size; }
};

linear_fit fit_line(const std::vector<sample_point>& points);

} // namespace cyclamenrun::bench

#endif // CYCLAMENRUN_BENCH_LINEAR_FIT_HPP

#ifndef CYCLAMENRUN_BENCH_PATH_SAMPLES_HPP
#define CYCLAMENRUN_BENCH_PATH_SAMPLES_HPP

#include <cstddef>
#include <vector>

namespace cyclamenrun::bench
{

/**
 * Samples with exact quantiles. The delay that the path adds is far smaller
 * than the time between tokens, so a histogram's buckets would hide it.
 */
class path_samples
{
public:
    /** Adds a sample, or drops it when the maximum number is stored. */
    void add(double value);
    std::size_t count() const { return values_.size(); }
    /** Quantile with `share` from 0 to 1; 0 when empty. */
    double quantile(double share) const;
    double mean() const;

private:
    std::vector<double> values_;
};

} // namespace cyclamenrun::bench

#endif // CYCLAMENRUN_BENCH_PATH_SAMPLES_HPP

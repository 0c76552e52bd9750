#ifndef CYCLAMENRUN_BENCH_PATH_SAMPLES_HPP
#define CYCLAMENRUN_BENCH_PATH_SAMPLES_HPP

#include <cstddef>
#include <vector>

namespace cyclamenrun::bench
{

/**
 * Exact quantiles: what the path adds is far smaller than the time between
 * tokens, so that a histogram's steps would hide it.
 */
class path_samples
{
public:
    /** Samples over the bound are dropped. */
    void add(double value);
    std::size_t count() const { return values_.size(); }
    /** The value that `share` of all do not exceed; 0 when empty. */
    double quantile(double share) const;
    double mean() const;

private:
    std::vector<double> values_;
};

} // namespace cyclamenrun::bench

#endif // CYCLAMENRUN_BENCH_PATH_SAMPLES_HPP

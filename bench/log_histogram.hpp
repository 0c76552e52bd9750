#ifndef CYCLAMENRUN_BENCH_LOG_HISTOGRAM_HPP
#define CYCLAMENRUN_BENCH_LOG_HISTOGRAM_HPP

#include <cstdint>
#include <vector>

namespace cyclamenrun::bench
{

/** Histogram with buckets 1% apart; clamps values to 0.01 to 1e7. */
class log_histogram
{
public:
    log_histogram();

    void add(double value);
    std::uint64_t count() const { return count_; }
    /** Quantile with `share` from 0 to 1; 0 when empty. */
    double quantile(double share) const;

private:
    std::uint64_t count_ = 0;
    std::vector<std::uint64_t> buckets_;
};

} // namespace cyclamenrun::bench

#endif // CYCLAMENRUN_BENCH_LOG_HISTOGRAM_HPP

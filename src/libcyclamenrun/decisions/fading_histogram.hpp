#ifndef CYCLAMENRUN_FADING_HISTOGRAM_HPP
#define CYCLAMENRUN_FADING_HISTOGRAM_HPP

#include <cstddef>
#include <vector>

namespace cyclamenrun
{

/**
 * Distribution of positive numbers, in bins of equal ratio. Older samples have
 * less weight. Takes a fixed amount of memory. No I/O; not thread-safe.
 */
class fading_histogram
{
public:
    /**
     * Numbers outside of `least` to `most` are counted as the nearer one.
     * `memory`: number of further samples after which the weight of a sample
     * is 1/e.
     */
    fading_histogram(double least, double most, double memory);

    void add(double value);

    /** Sum of the weights; the newest sample's weight is one. */
    double weight() const;
    /** Weighted share of the samples above `value`; 0 without samples. */
    double share_above(double value) const;
    /** Weighted median; 0 without samples. */
    double median() const;
    /**
     * Harmonic mean of the samples from `least` to `most`; 0 if there are none.
     */
    double harmonic_mean(double least, double most) const;

private:
    /** Position of a number on the scale of the bins. */
    double position_of(double value) const;
    double value_at(double position) const;

    double least_;
    double growth_;
    std::vector<double> bins_;
    double total_ = 0;
    /** Weight of the next sample; grows instead of the old ones fading. */
    double next_weight_ = 1;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_FADING_HISTOGRAM_HPP

#include "metrics.hpp"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <mutex>

namespace cyclamenrun
{

namespace
{

namespace accumulators = boost::accumulators;
namespace tag = boost::accumulators::tag;

using total_accumulator = accumulators::accumulator_set<
    double, accumulators::stats<tag::count, tag::mean, tag::max>>;
using window_accumulator = accumulators::accumulator_set<
    double, accumulators::stats<tag::count, tag::extended_p_square>>;

constexpr std::array probabilities{0.5, 0.99};

// With fewer samples than markers the P-square estimator returns raw samples in
// order of arrival, which are not quantiles.
constexpr std::size_t min_samples = 2 * probabilities.size() + 3;

window_accumulator make_window()
{
    return window_accumulator(tag::extended_p_square::probabilities =
                                  probabilities);
}

} // namespace

/**
 * The samples of one metric: totals since the start, and the previous and the
 * current window. Thread-safe.
 */
class metrics::metric_samples
{
public:
    void record(double value, time_point now)
    {
        const std::lock_guard lock(mutex_);
        rotate(now);
        total_(value);
        current_(value);
    }

    metric_summary summary(time_point now)
    {
        const std::lock_guard lock(mutex_);
        rotate(now);
        metric_summary result;
        result.count = accumulators::count(total_);
        if (result.count == 0)
            return result;
        result.mean = accumulators::mean(total_);
        result.maximum = accumulators::max(total_);
        fill_quantiles(result);
        return result;
    }

private:
    /**
     * Starts a new window if the current one has ended. The ended window
     * becomes the previous one unless it ended a whole window ago.
     */
    void rotate(time_point now)
    {
        if (now < window_end_)
            return;
        const bool idle = now >= window_end_ + window;
        previous_ = idle ? make_window() : current_;
        current_ = make_window();
        window_end_ = now + window;
    }

    void fill_quantiles(metric_summary& result) const
    {
        const auto previous_count = accumulators::count(previous_);
        const auto& source =
            previous_count >= min_samples ? previous_ : current_;
        result.recent_count = accumulators::count(source);
        if (result.recent_count < min_samples)
            return;
        const auto quantiles = accumulators::extended_p_square(source);
        result.recent_p50 = quantiles[0];
        result.recent_p99 = quantiles[1];
    }

    std::mutex mutex_;
    total_accumulator total_;
    window_accumulator current_ = make_window();
    window_accumulator previous_ = make_window();
    time_point window_end_{};
};

metrics::metrics()
{
    for (std::size_t count = 0; count < metric_table().size(); ++count)
        samples_.push_back(std::make_unique<metric_samples>());
}

metrics::~metrics() = default;

void metrics::record(metric id, double value, time_point now)
{
    samples_[static_cast<std::size_t>(id)]->record(value, now);
}

void metrics::record(metric id, duration value, time_point now)
{
    using fractional_ms = std::chrono::duration<double, std::milli>;
    record(id, fractional_ms(value).count(), now);
}

metric_summary metrics::summary(metric id, time_point now) const
{
    return samples_[static_cast<std::size_t>(id)]->summary(now);
}

} // namespace cyclamenrun

#ifndef CYCLAMENRUN_EXPORTED_METRICS_HPP
#define CYCLAMENRUN_EXPORTED_METRICS_HPP

#include "clock.hpp"
#include "exported_metric.hpp"

#include <initializer_list>
#include <memory>
#include <string>

namespace cyclamenrun
{

/**
 * Holds the counters, gauges and histograms of a process and writes them in
 * the Prometheus text exposition format. Memory is bounded: a metric has at
 * most `max_series` different sets of label values; samples of further sets
 * are counted under the label value "other". Thread-safe.
 */
class exported_metrics
{
public:
    using label_values = std::initializer_list<std::string>;

    exported_metrics();
    ~exported_metrics();
    exported_metrics(const exported_metrics&) = delete;
    exported_metrics& operator=(const exported_metrics&) = delete;

    /** Adds to a counter; label values in the order of the label names. */
    void count(exported_metric id, label_values labels = {}, double by = 1);
    /** Sets a gauge. */
    void set(exported_metric id, label_values labels, double value);
    /** Raises a counter that is maintained elsewhere to `total`. */
    void set_counter(exported_metric id, label_values labels, double total);
    /** Adds a sample to a histogram. */
    void observe(exported_metric id, label_values labels, duration value);

    /** Returns all metrics in the text exposition format. */
    std::string text() const;

    static constexpr std::size_t max_series = 256;

private:
    class registry;
    std::unique_ptr<registry> registry_;
};

/** Updates the counters of dropped log lines. */
void export_dropped_lines(exported_metrics& metrics);

/** Updates the counters of rejected messages. */
void export_rejected_messages(exported_metrics& metrics);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_EXPORTED_METRICS_HPP

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
 * The counters, gauges and histograms of a process, as the text of the
 * Prometheus exposition format. Memory is bounded: a metric has at most
 * `most_series` different sets of labels, and what comes beyond them is
 * counted under "other". Any thread may use it.
 */
class exported_metrics
{
public:
    using label_values = std::initializer_list<std::string>;

    exported_metrics();
    ~exported_metrics();
    exported_metrics(const exported_metrics&) = delete;
    exported_metrics& operator=(const exported_metrics&) = delete;

    /** Label values come in the order of the metric's label names. */
    void count(exported_metric what, label_values labels = {}, double by = 1);
    void set(exported_metric what, label_values labels, double value);
    /** A counter that is kept elsewhere stands at `total`. */
    void count_to(exported_metric what, label_values labels, double total);
    void observe(exported_metric what, label_values labels, duration value);

    std::string text() const;

    static constexpr std::size_t most_series = 256;

private:
    class registry;
    std::unique_ptr<registry> registry_;
};

/** Brings the counter of lines that the log has left out up to date. */
void export_dropped_lines(exported_metrics& metrics);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_EXPORTED_METRICS_HPP

#include "exported_metrics.hpp"

#include "logging.hpp"
#include "rejected_messages.hpp"

#include <array>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <set>
#include <sstream>
#include <stdexcept>
#include <variant>
#include <vector>

namespace cyclamenrun
{

namespace
{

using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;

/** Upper bounds in seconds, from a local call to the longest generation. */
const Histogram::BucketBoundaries bucket_bounds_s{
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 32, 64};

using any_family =
    std::variant<Family<Counter>*, Family<Gauge>*, Family<Histogram>*>;

std::vector<std::string> label_names(std::string_view joined)
{
    std::vector<std::string> names;
    std::istringstream text{std::string(joined)};
    for (std::string name; std::getline(text, name, ',');)
        names.push_back(name);
    return names;
}

} // namespace

/** Wraps the Prometheus registry; holds one family for each metric. */
class exported_metrics::registry
{
public:
    registry()
    {
        for (const auto& row : exported_metric_table())
            families_.push_back(
                {make_family(row), label_names(row.labels), {}});
    }

    template <typename Series, typename... Buckets>
    Series& series(exported_metric id, label_values values,
                   const Buckets&... buckets)
    {
        const std::lock_guard lock(mutex_);
        auto& family = families_.at(static_cast<std::size_t>(id));
        auto* const typed = std::get<Family<Series>*>(family.family);
        return typed->Add(labels_of(family, values), buckets...);
    }

    std::string text() const
    {
        return prometheus::TextSerializer().Serialize(registry_.Collect());
    }

private:
    struct labelled_family {
        any_family family;
        std::vector<std::string> names;
        std::set<std::vector<std::string>> known_values;
    };

    any_family make_family(const exported_metric_row& row)
    {
        const std::string name(row.name);
        const std::string help(row.doc);
        switch (row.kind) {
        case exported_kind::counter:
            return &prometheus::BuildCounter().Name(name).Help(help).Register(
                registry_);
        case exported_kind::gauge:
            return &prometheus::BuildGauge().Name(name).Help(help).Register(
                registry_);
        case exported_kind::histogram:
            return &prometheus::BuildHistogram().Name(name).Help(help).Register(
                registry_);
        }
        throw std::logic_error("metric has an unknown kind");
    }

    static prometheus::Labels labels_of(labelled_family& family,
                                        label_values values)
    {
        const std::vector<std::string> value_list(values);
        const bool full = family.known_values.size() >= max_series;
        const bool overflows =
            full && !family.known_values.contains(value_list);
        if (!overflows)
            family.known_values.insert(value_list);
        prometheus::Labels labels;
        for (std::size_t i = 0; i < family.names.size(); ++i)
            labels[family.names[i]] = overflows ? "other" : value_list.at(i);
        return labels;
    }

    std::mutex mutex_;
    prometheus::Registry registry_;
    std::vector<labelled_family> families_;
};

exported_metrics::exported_metrics() : registry_(std::make_unique<registry>())
{
}

exported_metrics::~exported_metrics() = default;

void exported_metrics::count(exported_metric id, label_values labels, double by)
{
    registry_->series<Counter>(id, labels).Increment(by);
}

void exported_metrics::set_counter(exported_metric id, label_values labels,
                                   double total)
{
    auto& counter = registry_->series<Counter>(id, labels);
    counter.Increment(total - counter.Value());
}

void exported_metrics::set(exported_metric id, label_values labels,
                           double value)
{
    registry_->series<Gauge>(id, labels).Set(value);
}

void exported_metrics::observe(exported_metric id, label_values labels,
                               duration value)
{
    const std::chrono::duration<double> seconds = value;
    registry_->series<Histogram>(id, labels, bucket_bounds_s)
        .Observe(seconds.count());
}

std::string exported_metrics::text() const
{
    return registry_->text();
}

void export_dropped_lines(exported_metrics& metrics)
{
    const auto dropped = total_dropped_lines();
    for (const auto severity :
         {log_severity::info, log_severity::warning, log_severity::error})
        metrics.set_counter(exported_metric::dropped_log_lines,
                            {std::string(name_of(severity))},
                            static_cast<double>(dropped.of(severity)));
}

void export_rejected_messages(exported_metrics& metrics)
{
    for (const auto& [kind, count] : process_rejected_messages().counts())
        metrics.set_counter(exported_metric::rejected_messages,
                            {kind.first, std::string(name_of(kind.second))},
                            static_cast<double>(count));
}

} // namespace cyclamenrun

#include "exported_metrics.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

using testing::HasSubstr;
using testing::Not;

TEST(exported_metrics, are_written_in_the_prometheus_text_format)
{
    exported_metrics metrics;
    metrics.count(exported_metric::refusals, {"no_route"});
    metrics.count(exported_metric::refusals, {"no_route"}, 2);
    metrics.set(exported_metric::running, {}, 7);
    metrics.observe(exported_metric::answer_time, {"a"}, milliseconds(300));
    const auto text = metrics.text();
    EXPECT_THAT(text, HasSubstr("# TYPE cyclamenrun_refusals_total counter"));
    EXPECT_THAT(text,
                HasSubstr("cyclamenrun_refusals_total{reason=\"no_route\"} 3"));
    EXPECT_THAT(text, HasSubstr("cyclamenrun_requests_running 7"));
    EXPECT_THAT(text, HasSubstr("cyclamenrun_answer_seconds_bucket"
                                "{route=\"a\",le=\"0.25\"} 0"));
    EXPECT_THAT(text, HasSubstr("cyclamenrun_answer_seconds_bucket"
                                "{route=\"a\",le=\"0.5\"} 1"));
}

// Guards against unbounded memory use: routes are renamed over time, and a
// process that runs for a year must not keep a series for each former name.
TEST(exported_metrics, have_a_bounded_number_of_series)
{
    exported_metrics metrics;
    for (std::size_t i = 0; i < exported_metrics::max_series + 50; ++i)
        metrics.count(exported_metric::refusals, {"r" + std::to_string(i)});
    const auto text = metrics.text();
    EXPECT_THAT(text, HasSubstr("{reason=\"other\"} 50"));
    EXPECT_THAT(text, HasSubstr("{reason=\"r255\"} 1"));
    EXPECT_THAT(text, Not(HasSubstr("{reason=\"r256\"}")));
}

} // namespace
} // namespace cyclamenrun

#include "agent_settings.hpp"
#include "metrics.hpp"
#include "state_dump.hpp"
#include "state_dump_list.hpp"
#include "state_dump_sections.hpp"

#include <Poco/JSON/Parser.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

Poco::JSON::Object::Ptr parse(const std::string& text)
{
    return Poco::JSON::Parser().parse(text).extract<Poco::JSON::Object::Ptr>();
}

TEST(metrics, quantiles_are_of_recent_samples_and_totals_of_all)
{
    metrics measured;
    const time_point start = time_point() + metrics::window;
    for (int value = 1; value <= 1000; ++value)
        measured.record(metric::call_duration, double(value), start);
    const auto early = measured.summary(metric::call_duration, start);
    EXPECT_EQ(early.count, 1000U);
    EXPECT_EQ(early.maximum, 1000);
    EXPECT_NEAR(early.recent_p50.value(), 500, 25);
    EXPECT_NEAR(early.recent_p99.value(), 990, 15);

    const auto later = start + 3 * metrics::window;
    measured.record(metric::call_duration, milliseconds(7), later);
    const auto late = measured.summary(metric::call_duration, later);
    EXPECT_EQ(late.count, 1001U);
    EXPECT_EQ(late.recent_count, 1U);
    EXPECT_FALSE(late.recent_p50) << "one sample has no quantiles";
}

TEST(state_dump, stays_bounded_and_valid_for_any_section)
{
    state_dump dump(4000);
    dump.add_section("large", [](Poco::JSON::Object& object) {
        object.set("text", std::string(5000, 'x'));
    });
    dump.add_section("list", [](Poco::JSON::Object& object) {
        state_dump_list list(2);
        for (int number = 0; number < 9; ++number) {
            Poco::JSON::Object item;
            item.set("number", number);
            list.add(item);
        }
        list.write(object, "items");
    });
    const auto object = parse(dump.write());
    EXPECT_TRUE(object->getObject("large")->getValue<bool>("omitted"));
    const auto list = object->getObject("list")->getObject("items");
    EXPECT_EQ(list->getValue<int>("total"), 9);
    EXPECT_EQ(list->getArray("items")->size(), 2U);
}

TEST(state_dump, contains_process_and_metrics_but_no_keys)
{
    agent_settings settings;
    settings.name = "vm-7";
    settings.link_key = secret("not to be shown");
    metrics measured;
    time_point now{};
    measured.record(metric::retries, 1.0, now);
    state_dump dump;
    add_process_section(dump, settings, "agent", [&now] { return now; });
    add_metrics_section(dump, measured, [&now] { return now; });
    now += milliseconds(250);
    const auto text = dump.write();
    EXPECT_THAT(text, testing::Not(testing::HasSubstr("not to be shown")));
    const auto object = parse(text);
    EXPECT_EQ(object->getObject("process")->getValue<int>("uptime_ms"), 250);
    const auto retries = object->getObject("metrics")->getObject("retries");
    EXPECT_EQ(retries->getValue<std::string>("unit"), "attempts");
    EXPECT_EQ(retries->getValue<int>("count"), 1);
}

} // namespace
} // namespace cyclamenrun

#include "log_event.hpp"
#include "logging.hpp"
#include "secret.hpp"

#include <Poco/JSON/Parser.h>
#include <glog/logging.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <mutex>
#include <rapidcheck/gtest.h>
#include <thread>
#include <type_traits>

namespace cyclamenrun
{
namespace
{

/** Catches log lines in place of standard error. */
class log_catcher
{
public:
    explicit log_catcher(log_severity least = log_severity::info)
    {
        start_logging("test", least, [this](std::string_view line) {
            const std::lock_guard lock(mutex_);
            lines_.emplace_back(line);
        });
    }
    ~log_catcher() { start_logging("test", log_severity::info); }
    log_catcher(const log_catcher&) = delete;
    log_catcher& operator=(const log_catcher&) = delete;

    std::vector<std::string> lines() const
    {
        const std::lock_guard lock(mutex_);
        return lines_;
    }

private:
    mutable std::mutex mutex_;
    std::vector<std::string> lines_;
};

Poco::JSON::Object::Ptr parse(const std::string& line)
{
    return Poco::JSON::Parser().parse(line).extract<Poco::JSON::Object::Ptr>();
}

static_assert(!std::is_constructible_v<log_field, log_key, secret>,
              "a key must not get into a log event by mistake");

TEST(logging, an_event_carries_typed_fields_but_no_generation_secret)
{
    const log_catcher caught;
    const generation_id generation{"vm-1", 7, 3, 123456789};
    log_event(log_severity::warning, log_event_name::request_refused,
              {{log_key::request_id, "r-1"},
               {log_key::generation, generation},
               {log_key::reason, refusal_reason::queue_full},
               {log_key::tokens, 12U}});
    ASSERT_EQ(caught.lines().size(), 1U);
    const auto line = parse(caught.lines().front());
    EXPECT_EQ(line->getValue<std::string>("event"), "request_refused");
    EXPECT_EQ(line->getValue<std::string>("severity"), "warning");
    EXPECT_EQ(line->getValue<std::string>("reason"), "queue_full");
    EXPECT_EQ(line->getValue<int>("tokens"), 12);
    EXPECT_THAT(caught.lines().front(),
                testing::AllOf(testing::HasSubstr("vm-1:7:3"),
                               testing::Not(testing::HasSubstr("75bcd15"))));
}

TEST(logging, lines_of_libraries_are_json_and_low_severities_are_dropped)
{
    const log_catcher caught(log_severity::warning);
    log_event(log_severity::info, log_event_name::request_finished);
    LOG(ERROR) << "quoted \"text\"\nsecond line";
    ASSERT_EQ(caught.lines().size(), 1U);
    const auto line = parse(caught.lines().front());
    EXPECT_EQ(line->getValue<std::string>("event"), "library_message");
    EXPECT_EQ(line->getValue<std::string>("detail"),
              "quoted \"text\"\nsecond line");
}

TEST(logging, many_threads_never_mix_their_lines)
{
    const log_catcher caught;
    std::vector<std::jthread> threads;
    for (unsigned thread = 0; thread < 4; ++thread) {
        threads.emplace_back([thread] {
            for (unsigned count = 0; count < 50; ++count)
                log_event(log_severity::info, log_event_name::request_finished,
                          {{log_key::count, thread * 50 + count}});
        });
    }
    threads.clear();
    std::set<int> counts;
    for (const auto& line : caught.lines())
        counts.insert(parse(line)->getValue<int>("count"));
    EXPECT_EQ(counts.size(), 200U);
}

/** Callers choose request ids and paths: any bytes must leave one JSON line. */
RC_GTEST_PROP(logging, hostile_text_leaves_one_line_of_json,
              (const std::vector<std::uint8_t>& bytes))
{
    const log_catcher caught;
    const std::string text(bytes.begin(), bytes.end());
    log_event(log_severity::info, log_event_name::caller_refused,
              {{log_key::path, text}});
    const auto lines = caught.lines();
    RC_ASSERT(lines.size() == 1U);
    RC_ASSERT(lines.front().find('\n') == std::string::npos);
    RC_ASSERT(parse(lines.front())->has("path"));
}

} // namespace
} // namespace cyclamenrun

#include "logging.hpp"
#include "request_trace.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

using testing::ElementsAre;
using testing::HasSubstr;
using testing::SizeIs;

/** Collects the lines that one test logs. */
class request_traces : public testing::Test
{
protected:
    request_traces()
    {
        start_logging({"test"}, [this](log_severity, std::string_view line) {
            lines.emplace_back(line);
            return true;
        });
    }
    ~request_traces() override { start_logging({}, nullptr); }

    void record_steps(int count)
    {
        for (int i = 0; i < count; ++i)
            trace.record(log_event_name::attempt_placed,
                         {{log_key::attempt, i}});
    }

    request_trace trace;
    std::vector<std::string> lines;
};

TEST_F(request_traces, successful_request_logs_one_line)
{
    record_steps(3);
    trace.end("r-1", log_severity::info, log_event_name::request_finished,
              {{log_key::status, 200}});
    EXPECT_THAT(lines,
                ElementsAre(HasSubstr(R"("request_id":"r-1","status":200)")));
}

TEST_F(request_traces, failed_request_logs_all_decisions)
{
    record_steps(2);
    trace.end("r-1", log_severity::warning, log_event_name::answer_cut, {});
    EXPECT_THAT(lines, ElementsAre(HasSubstr(R"("attempt":0)"),
                                   HasSubstr(R"("attempt":1)"),
                                   HasSubstr("answer_cut")));
}

// The answer was complete but late. The log must show the cause of the delay.
TEST_F(request_traces, late_request_logs_all_decisions)
{
    record_steps(1);
    trace.mark_late();
    trace.end("r-1", log_severity::info, log_event_name::request_finished, {});
    EXPECT_THAT(lines, SizeIs(2));
    EXPECT_THAT(lines.back(), HasSubstr(R"("severity":"warning")"));
}

// A gateway that is killed never logs the end of its requests, so each decision
// on a followed request must be logged at once.
TEST_F(request_traces, followed_request_logs_each_decision_at_once)
{
    trace.follow("r-1");
    record_steps(1);
    EXPECT_THAT(lines, ElementsAre(HasSubstr(R"("request_id":"r-1")")));
    trace.end("r-1", log_severity::warning, log_event_name::answer_cut, {});
    EXPECT_THAT(lines, SizeIs(2));
}

// The trace of a generation that moves a hundred times must not grow without
// bound; its first and last steps are kept.
TEST_F(request_traces, long_trace_keeps_first_and_last_steps)
{
    record_steps(100);
    trace.end("r-1", log_severity::warning, log_event_name::answer_cut, {});
    const auto kept = request_trace::first_steps + request_trace::last_steps;
    ASSERT_THAT(lines, SizeIs(kept + 1));
    EXPECT_THAT(lines[7], HasSubstr(R"("attempt":7)"));
    EXPECT_THAT(lines[8], HasSubstr(R"("attempt":76)"));
    EXPECT_THAT(lines.back(), HasSubstr(R"("left_out":68)"));
}

} // namespace
} // namespace cyclamenrun

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

/** Keeps the lines that one test logs. */
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

    void note(int count)
    {
        for (int i = 0; i < count; ++i)
            trace.note(log_event_name::attempt_placed, {{log_key::attempt, i}});
    }

    request_trace trace;
    std::vector<std::string> lines;
};

TEST_F(request_traces, one_line_tells_of_a_request_that_ended_well)
{
    note(3);
    trace.end("r-1", log_severity::info, log_event_name::request_finished,
              {{log_key::status, 200}});
    EXPECT_THAT(lines,
                ElementsAre(HasSubstr(R"("request_id":"r-1","status":200)")));
}

TEST_F(request_traces, all_decisions_are_told_of_one_that_failed)
{
    note(2);
    trace.end("r-1", log_severity::warning, log_event_name::answer_cut, {});
    EXPECT_THAT(lines, ElementsAre(HasSubstr(R"("attempt":0)"),
                                   HasSubstr(R"("attempt":1)"),
                                   HasSubstr("answer_cut")));
}

// The answer came whole, but too late for its caller, who complains.
TEST_F(request_traces, all_decisions_are_told_of_one_that_was_late)
{
    note(1);
    trace.note_late();
    trace.end("r-1", log_severity::info, log_event_name::request_finished, {});
    EXPECT_THAT(lines, SizeIs(2));
    EXPECT_THAT(lines.back(), HasSubstr(R"("severity":"warning")"));
}

// A gateway is killed while it serves. What it did with the request must be
// in the log by then, though no end of it will ever be.
TEST_F(request_traces, a_followed_request_is_told_as_it_goes)
{
    trace.follow("r-1");
    note(1);
    EXPECT_THAT(lines, ElementsAre(HasSubstr(R"("request_id":"r-1")")));
    trace.end("r-1", log_severity::warning, log_event_name::answer_cut, {});
    EXPECT_THAT(lines, SizeIs(2));
}

// A generation that moves a hundred times must not grow without a bound; how
// it began and how it ended is kept.
TEST_F(request_traces, a_long_story_keeps_its_beginning_and_its_end)
{
    note(100);
    trace.end("r-1", log_severity::warning, log_event_name::answer_cut, {});
    const auto kept = request_trace::first_steps + request_trace::last_steps;
    ASSERT_THAT(lines, SizeIs(kept + 1));
    EXPECT_THAT(lines[7], HasSubstr(R"("attempt":7)"));
    EXPECT_THAT(lines[8], HasSubstr(R"("attempt":76)"));
    EXPECT_THAT(lines.back(), HasSubstr(R"("left_out":68)"));
}

} // namespace
} // namespace cyclamenrun

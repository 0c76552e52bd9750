#include "gateway_program.hpp"
#include "request_story.hpp"

#include <gmock/gmock.h>
#include <sstream>

namespace cyclamenrun::testing_support
{
namespace
{

using testing::AllOf;
using testing::ContainsRegex;

/** The walk-throughs of docs/OPERATIONS.md, on the program's own log. */
class explaining : public gateway_program
{
protected:
    /** Sends a request, waits for its end, and returns its id. */
    std::string send(const std::string& key, const std::string& path)
    {
        test_caller caller(address);
        caller.send(request_text(key, path));
        last = caller.read();
        return "r" + std::to_string(next);
    }

    std::string explain(const std::string& id) const
    {
        request_story story(id);
        std::istringstream log(process->output());
        for (std::string line; std::getline(log, line);)
            story.take("collector 10.1.0.19 " + line);
        if (story.empty())
            return "no line has the id " + id;
        std::ostringstream text;
        story.print(text);
        return text.str();
    }

    bool wait_for_end(const std::string& id) const
    {
        return wait_for_log(R"("request_id":")" + id + R"(","reason")");
    }

    caller_answer last;
};

// A caller complains that its stream was cut in the middle.
TEST_F(explaining, a_stream_that_was_cut)
{
    const auto id = send("k1", "/s/x");
    EXPECT_FALSE(last.whole);
    ASSERT_TRUE(wait_for_end(id));
    const auto story = explain(id);
    EXPECT_THAT(
        story, AllOf(ContainsRegex("request_admitted.* revision=1 route=s "
                                   "team=north"),
                     ContainsRegex("attempt_placed .*upstream=i-1 .*weighed=1"),
                     ContainsRegex("attempt_ended .*next=cut reason=lost"),
                     ContainsRegex("answer_cut .*count=2 .*upstream=i-1")));
    // From the first decision to the last.
    EXPECT_LT(story.find("request_admitted"), story.find("attempt_placed"));
    EXPECT_LT(story.find("attempt_ended"), story.find("answer_cut"));
}

// The dashboard showed a free upstream, and yet a caller was refused: this
// gateway had not heard of the store for longer than a key may live on.
TEST_F(explaining, a_refusal_while_upstreams_were_free)
{
    store.set_mood(stand_in_store::mood::silent);
    wait_for_answer("k1", 503);
    ASSERT_TRUE(wait_for_log("directory_lost"));
    const auto id = send("k1", "/a/x");
    EXPECT_EQ(last.status(), 503U);
    ASSERT_TRUE(wait_for_end(id));
    EXPECT_THAT(explain(id),
                AllOf(ContainsRegex("lease +lease_ended .* ms before age_ms="),
                      ContainsRegex("directory +directory_lost .*"
                                    "name=configurations"),
                      ContainsRegex("request_refused .*reason=no_configuration "
                                    ".*revision=1 ")));
}

// A key was taken away. One request was still served with it, the next was
// refused: what did the gateway know at either time?
TEST_F(explaining, a_key_that_was_taken_away)
{
    const auto served = send("k1", "/a/x");
    EXPECT_EQ(last.status(), 200U);
    store.put("keyed.op", "config", configuration_text(2, "k2"));
    wait_for_answer("k2", 200);
    const auto refused = send("k1", "/a/x");
    EXPECT_EQ(last.status(), 401U);
    ASSERT_TRUE(wait_for_end(served));
    ASSERT_TRUE(wait_for_end(refused));
    EXPECT_THAT(explain(served),
                AllOf(ContainsRegex("configuration_applied .* revision=1"),
                      ContainsRegex("request_finished age_ms=.*revision=1 .*"
                                    "status=200 team=north")));
    EXPECT_THAT(explain(refused),
                AllOf(ContainsRegex("configuration_applied .* revision=2"),
                      ContainsRegex("request_refused .*reason=unknown_key "
                                    "revision=2 status=401")));
}

TEST(request_story, passes_over_what_is_no_line_of_a_log)
{
    request_story story("a");
    for (const auto* line : {"", "{", "plain text", "{\"time\":1}", "[]",
                             "\xff\xfe{\"event\":\"x\"}"})
        story.take(line);
    EXPECT_TRUE(story.empty());
}

// Of a request that ended well there is one line, from its end. What counts
// is what its gateway believed when it came.
TEST(request_story, tells_what_was_believed_when_the_request_came)
{
    request_story story("a");
    const auto applied = [](const std::string& time, const std::string& what) {
        return R"({"time":"2026-01-01T00:00:)" + time +
               R"(Z","process":"g","event":"configuration_applied",)"
               R"("revision":)" +
               what + "}";
    };
    story.take(applied("01.000", "1"));
    story.take(applied("03.000", "2"));
    story.take(R"({"time":"2026-01-01T00:00:04.000Z","process":"g",)"
               R"("event":"request_finished","request_id":"a",)"
               R"("duration_ms":2500})");
    std::ostringstream text;
    story.print(text);
    EXPECT_THAT(text.str(),
                ContainsRegex("believed at 2026-01-01T00:00:01.500Z:\n"
                              "  configuration  configuration_applied "
                              "500 ms before revision=1"));
}

// Logs of several processes are read one after another; the story is in the
// order of time.
TEST(request_story, is_in_the_order_of_time_over_all_processes)
{
    request_story story("a");
    const auto line = [](const std::string& second, const std::string& process,
                         const std::string& event) {
        return R"({"time":"2026-01-01T00:00:0)" + second +
               R"(.000Z","severity":"info","process":")" + process +
               R"(","event":")" + event + R"(","request_id":"a"})";
    };
    story.take(line("2", "g", "request_finished"));
    story.take(line("1", "h", "attempt_placed"));
    story.take(line("0", "g", "request_admitted"));
    std::ostringstream text;
    story.print(text);
    EXPECT_THAT(text.str(), ContainsRegex("0   g request_admitted\n"
                                          " +1000   h attempt_placed\n"
                                          " +2000   g request_finished"));
}

} // namespace
} // namespace cyclamenrun::testing_support

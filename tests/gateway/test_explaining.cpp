#include "gateway_program.hpp"
#include "request_timeline.hpp"

#include <gmock/gmock.h>
#include <sstream>

namespace cyclamenrun::testing_support
{
namespace
{

using testing::AllOf;
using testing::ContainsRegex;

/** Runs the walk-throughs of docs/OPERATIONS.md on the program's own log. */
class request_explanation : public gateway_program
{
protected:
    /** Sends a request, waits for its answer, and returns its id. */
    std::string send(const std::string& key, const std::string& path)
    {
        test_caller caller(address);
        caller.send(request_text(key, path));
        last_answer = caller.read();
        return "r" + std::to_string(last_id);
    }

    std::string explain(const std::string& id) const
    {
        request_timeline timeline(id);
        std::istringstream log(process->output());
        for (std::string line; std::getline(log, line);)
            timeline.add_line("collector 10.1.0.19 " + line);
        if (timeline.empty())
            return "no line has the id " + id;
        std::ostringstream text;
        timeline.print(text);
        return text.str();
    }

    bool wait_for_end(const std::string& id) const
    {
        return wait_for_log(R"("request_id":")" + id + R"(","reason")");
    }

    caller_answer last_answer;
};

// Walk-through: a caller reports that its stream was cut in the middle.
TEST_F(request_explanation, shows_why_a_stream_was_cut)
{
    const auto id = send("k1", "/s/x");
    EXPECT_FALSE(last_answer.whole);
    ASSERT_TRUE(wait_for_end(id));
    const auto timeline = explain(id);
    EXPECT_THAT(
        timeline,
        AllOf(ContainsRegex("request_admitted.* revision=1 route=s "
                            "team=north"),
              ContainsRegex("attempt_placed .*upstream=i-1 .*weighed=1"),
              ContainsRegex("attempt_ended .*next=cut reason=lost"),
              ContainsRegex("answer_cut .*count=2 .*upstream=i-1")));
    // The decisions are in the order in which they were made.
    EXPECT_LT(timeline.find("request_admitted"),
              timeline.find("attempt_placed"));
    EXPECT_LT(timeline.find("attempt_ended"), timeline.find("answer_cut"));
}

// Walk-through: a caller was refused although the dashboard showed a free
// upstream. The gateway had received nothing from the store for longer than
// its lease on the configuration, and with it on the keys.
TEST_F(request_explanation, shows_why_a_request_was_refused)
{
    store.set_fault_mode(fake_store::fault_mode::unresponsive);
    wait_for_answer("k1", 503);
    ASSERT_TRUE(wait_for_log("directory_lost"));
    const auto id = send("k1", "/a/x");
    EXPECT_EQ(last_answer.status(), 503U);
    ASSERT_TRUE(wait_for_end(id));
    EXPECT_THAT(explain(id),
                AllOf(ContainsRegex("lease +lease_ended .* ms before age_ms="),
                      ContainsRegex("directory +directory_lost .*"
                                    "name=configurations"),
                      ContainsRegex("request_refused .*reason=no_configuration "
                                    ".*revision=1 ")));
}

// Walk-through: a key was revoked. One request was still served with it, the
// next was refused. The output shows the configuration at either time.
TEST_F(request_explanation, shows_when_a_key_was_revoked)
{
    const auto served = send("k1", "/a/x");
    EXPECT_EQ(last_answer.status(), 200U);
    store.put("keyed.op", "config", configuration_text(2, "k2"));
    wait_for_answer("k2", 200);
    const auto refused = send("k1", "/a/x");
    EXPECT_EQ(last_answer.status(), 401U);
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

// Walk-through: a caller is refused because its request crashes upstreams.
TEST_F(request_explanation, shows_which_upstreams_a_poison_request_crashed)
{
    std::vector<std::unique_ptr<fake_upstream>> crashing;
    for (std::size_t i = 0; i < 2; ++i) {
        crashing.push_back(std::make_unique<fake_upstream>(
            [&, i](const arrived_request&, upstream_reply&) {
                crashing[i]->crash();
            }));
        store.put("keyed.servers", "i-c" + std::to_string(i),
                  R"({"service":"app","address":")" +
                      to_string(crashing[i]->address()) +
                      R"(","zone":"d","slots":4,"state":"ready"})");
    }
    put_upstream("draining");
    ASSERT_TRUE(wait_for_log("upstream_leaving"));
    const auto crashed = send("k1", "/a/poison");
    ASSERT_TRUE(wait_for_log("poison_convicted"));
    EXPECT_THAT(explain(crashed),
                AllOf(ContainsRegex("upstream_crashed .*upstream=i-c0"),
                      ContainsRegex("upstream_crashed .*upstream=i-c1")));
    const auto refused = send("k1", "/a/poison");
    EXPECT_EQ(last_answer.status(), 503U);
    ASSERT_TRUE(wait_for_end(refused));
    EXPECT_THAT(explain(refused),
                AllOf(ContainsRegex("request_admitted .*fingerprint="),
                      ContainsRegex("request_refused .*reason=poison")));
}

// Walk-through: a caller is refused because the only upstream names a limit.
TEST_F(request_explanation, shows_the_limit_of_an_upstream)
{
    names_limit = true;
    (void)send("k1", "/a/x");
    ASSERT_TRUE(wait_for_log("upstream_limited"));
    const auto id = send("k1", "/a/x");
    EXPECT_EQ(last_answer.status(), 503U);
    ASSERT_TRUE(wait_for_end(id));
    EXPECT_THAT(explain(id),
                AllOf(ContainsRegex("limit_reached .*limit=0 .*upstream=i-1"),
                      ContainsRegex("request_refused .*reason=over_limit")));
}

TEST(request_timeline, skips_lines_that_are_not_log_events)
{
    request_timeline timeline("a");
    for (const auto* line : {"", "{", "plain text", "{\"time\":1}", "[]",
                             "\xff\xfe{\"event\":\"x\"}"})
        timeline.add_line(line);
    EXPECT_TRUE(timeline.empty());
}

// The log has one line for a request that succeeded, written at its end. The
// state shown must be the gateway's when the request arrived, not at its end.
TEST(request_timeline, shows_state_when_the_request_arrived)
{
    request_timeline timeline("a");
    const auto applied = [](const std::string& time, const std::string& what) {
        return R"({"time":"2026-01-01T00:00:)" + time +
               R"(Z","process":"g","event":"configuration_applied",)"
               R"("revision":)" +
               what + "}";
    };
    timeline.add_line(applied("01.000", "1"));
    timeline.add_line(applied("03.000", "2"));
    timeline.add_line(R"({"time":"2026-01-01T00:00:04.000Z","process":"g",)"
                      R"("event":"request_finished","request_id":"a",)"
                      R"("duration_ms":2500})");
    std::ostringstream text;
    timeline.print(text);
    EXPECT_THAT(text.str(),
                ContainsRegex("state of g at 2026-01-01T00:00:01.500Z:\n"
                              "  configuration  configuration_applied "
                              "500 ms before revision=1"));
}

// Logs of several processes are read one after another; the timeline must be
// sorted by time over all of them.
TEST(request_timeline, sorts_lines_of_all_processes_by_time)
{
    request_timeline timeline("a");
    const auto line = [](const std::string& second, const std::string& process,
                         const std::string& event) {
        return R"({"time":"2026-01-01T00:00:0)" + second +
               R"(.000Z","severity":"info","process":")" + process +
               R"(","event":")" + event + R"(","request_id":"a"})";
    };
    timeline.add_line(line("2", "g", "request_finished"));
    timeline.add_line(line("1", "h", "attempt_placed"));
    timeline.add_line(line("0", "g", "request_admitted"));
    std::ostringstream text;
    timeline.print(text);
    EXPECT_THAT(text.str(), ContainsRegex("0   g request_admitted\n"
                                          " +1000   h attempt_placed\n"
                                          " +2000   g request_finished"));
}

} // namespace
} // namespace cyclamenrun::testing_support

#include "start_queue.hpp"

#include <gtest/gtest.h>
#include <string>

namespace cyclamenrun
{
namespace
{

constexpr std::uint64_t memory = 20000;
constexpr unsigned slots = 24;
/** An hour after the epoch, since the epoch itself stands for "never". */
const time_point start{std::chrono::hours(1)};

time_point at(int ms)
{
    return start + milliseconds(ms);
}

start_request request_for(const std::string& id, std::uint64_t prompt = 2000,
                          int due_ms = 1500, std::uint64_t output = 400)
{
    start_request request;
    request.id = id;
    request.gateway = "g";
    request.prompt_tokens = prompt;
    request.output_tokens = output;
    request.first_due = at(due_ms);
    return request;
}

engine_status idle_engine()
{
    engine_status status;
    status.memory_total = memory;
    return status;
}

/** An engine that runs generations with the given memory sizes in tokens. */
engine_status engine_with(const std::vector<std::uint64_t>& sizes)
{
    auto status = idle_engine();
    for (const auto size : sizes) {
        status.generations.push_back(
            {"held" + std::to_string(status.generations.size()), size});
        status.memory_used += size;
    }
    status.running = static_cast<std::uint32_t>(sizes.size());
    return status;
}

std::vector<std::string> ids(const std::vector<start_request>& granted)
{
    std::vector<std::string> result;
    result.reserve(granted.size());
    for (const auto& each : granted)
        result.push_back(each.id);
    return result;
}

class start_queues : public testing::Test
{
protected:
    start_queues() { queue.set_slots(slots); }

    std::vector<std::string> grant(int ms)
    {
        return ids(queue.grant_starts(at(ms)));
    }

    start_queue queue;
};

using names = std::vector<std::string>;

// Guards against a thundering herd on a new engine: ten gateways see that it is
// empty and all send to it, so that the last request waits for nine prompts
// while other engines have nothing to prefill.
TEST_F(start_queues, grant_one_start_at_a_time_at_a_new_engine)
{
    queue.update_status(idle_engine(), false, at(0));
    for (int i = 0; i < 10; ++i)
        queue.request_start(request_for(std::to_string(i)), at(0));
    EXPECT_EQ(grant(0), names{"0"});
    EXPECT_EQ(grant(100), names{});
    // 2,000 tokens are prefilled in 286 ms; the next grant is 30 ms earlier.
    EXPECT_EQ(queue.next_event(at(100)), at(256));
    EXPECT_EQ(grant(256), names{"1"});
    EXPECT_EQ(queue.waiting(), 8U);
}

TEST_F(start_queues, grant_nothing_before_the_first_status)
{
    queue.request_start(request_for("a"), at(0));
    EXPECT_EQ(grant(0), names{});
    queue.update_status(idle_engine(), false, at(10));
    EXPECT_EQ(grant(10), names{"a"});
}

TEST_F(start_queues, grant_the_earliest_deadline_first)
{
    queue.update_status(idle_engine(), false, at(0));
    queue.request_start(request_for("later", 2000, 1500), at(0));
    queue.request_start(request_for("sooner", 2000, 900), at(0));
    EXPECT_EQ(grant(0), names{"sooner"});
}

// Guards against late requests that make others late: at an engine with a
// backlog, a late request that goes first delays one that could be on time.
TEST_F(start_queues, grant_late_requests_after_those_on_time)
{
    queue.update_status(idle_engine(), false, at(0));
    queue.request_start(request_for("late", 2000, 100), at(0));
    queue.request_start(request_for("on_time", 2000, 1500), at(0));
    EXPECT_EQ(grant(0), names{"on_time"});
    EXPECT_EQ(grant(260), names{"late"});
}

start_request of_team(const std::string& team, const std::string& id,
                      int due_ms = 1500)
{
    auto request = request_for(id, 2000, due_ms);
    request.team = team;
    return request;
}

/**
 * Runs three generations of one team, which hold 40% of the memory, and one of
 * another.
 */
void run_flood(start_queue& queue)
{
    std::vector<std::uint64_t> sizes;
    std::vector<std::string> running;
    queue.update_status(idle_engine(), false, at(0));
    for (const std::string id : {"f1", "f2", "f3", "c1"}) {
        queue.request_start(of_team(id[0] == 'f' ? "flood" : "calm", id),
                            at(0));
        EXPECT_EQ(queue.grant_starts(at(0)).size(), 1U);
        sizes.push_back(2700);
        running.push_back(id);
        auto status = engine_with(sizes);
        for (std::size_t i = 0; i < running.size(); ++i)
            status.generations[i].id = running[i];
        queue.update_status(status, false, at(0));
    }
}

// Guards against a team that floods: its generations fill the engine, and the
// requests of other teams wait behind it until they are late.
TEST_F(start_queues, grant_first_to_teams_that_hold_less)
{
    run_flood(queue);
    queue.request_start(of_team("flood", "f4", 1600), at(1200));
    queue.request_start(of_team("calm", "c2", 1700), at(1200));
    EXPECT_EQ(grant(1200), names{"c2"});
}

// If no other team waits, a team that floods can use the whole engine.
TEST_F(start_queues, delay_no_team_while_no_other_waits)
{
    run_flood(queue);
    queue.request_start(of_team("flood", "f4"), at(1200));
    EXPECT_EQ(grant(1200), names{"f4"});
}

// Late requests of a team that floods wait behind all others until their
// callers disconnect. The queue has to report them so that they can be refused.
TEST_F(start_queues, report_late_requests_that_are_passed_over)
{
    run_flood(queue);
    const auto late = of_team("flood", "late", 1200);
    EXPECT_FALSE(queue.is_passed_over(late, at(1200)));
    queue.request_start(of_team("new", "n1", 1400), at(1200));
    EXPECT_TRUE(queue.is_passed_over(late, at(1200)));
    EXPECT_FALSE(
        queue.is_passed_over(of_team("flood", "on_time", 2700), at(1200)));
    EXPECT_FALSE(queue.is_passed_over(of_team("new", "other", 1200), at(1200)));
}

// A long prompt that waits for memory must not block a short one that fits.
TEST_F(start_queues, grant_a_smaller_request_before_one_that_does_not_fit)
{
    queue.update_status(engine_with({4000, 4000, 4000}), false, at(0));
    queue.request_start(request_for("large", 6000, 500), at(0));
    queue.request_start(request_for("small", 1000, 1500), at(0));
    EXPECT_EQ(grant(0), names{"small"});
    queue.update_status(engine_with({4000}), false, at(200));
    EXPECT_EQ(grant(200), names{"large"});
}

// Guards against preemption: running generations grow token by token, and an
// engine that is full would preempt one of them and restore it later.
TEST_F(start_queues, leave_room_for_running_generations_to_grow)
{
    queue.update_status(engine_with({4000, 4000, 4000, 4000}), false, at(0));
    queue.request_start(request_for("a", 3900), at(0));
    EXPECT_EQ(grant(0), names{});
    queue.request_start(request_for("b", 2000), at(0));
    EXPECT_EQ(grant(0), names{"b"});
    // On an empty engine a generation may need all of the memory.
    queue.end("a");
    queue.update_status(idle_engine(), false, at(1000));
    queue.request_start(request_for("whole", memory), at(1000));
    EXPECT_EQ(grant(1000), names{"whole"});
}

TEST_F(start_queues, count_a_grant_until_the_engine_reports_it)
{
    queue.update_status(engine_with({8000}), false, at(0));
    queue.request_start(request_for("a", 6000), at(0));
    ASSERT_EQ(grant(0), names{"a"});
    // The prompt is in prefill, and the status includes its memory.
    auto status = engine_with({8000});
    status.running = 2;
    status.starting = 1;
    status.memory_used += 6000;
    queue.update_status(status, false, at(100));
    queue.request_start(request_for("b", 5000), at(100));
    EXPECT_EQ(grant(840), names{}); // 19,000 tokens leave no room to grow
    queue.request_start(request_for("b", 2000), at(800));
    EXPECT_EQ(grant(840), names{"b"});
}

// Guards against a grant that is never dropped: a generation of ten tokens can
// start and end between two polls of the engine.
TEST_F(start_queues, drop_the_grant_of_a_generation_that_ended_between_polls)
{
    queue.update_status(idle_engine(), false, at(0));
    queue.request_start(request_for("short"), at(0));
    ASSERT_EQ(grant(0), names{"short"});
    queue.update_status(idle_engine(), false, at(100));
    EXPECT_TRUE(queue.is_granted("short"));
    queue.update_status(idle_engine(), false, at(200));
    EXPECT_FALSE(queue.is_granted("short"));
}

// A generation that is granted starts at two engines uses one of them. The
// other engine has to grant the unused start to the next request.
TEST_F(start_queues, grant_unused_starts_to_other_requests)
{
    queue.update_status(idle_engine(), false, at(0));
    queue.request_start(request_for("a"), at(0));
    queue.request_start(request_for("b"), at(0));
    ASSERT_EQ(grant(0), names{"a"});
    queue.end("a");
    EXPECT_EQ(grant(3), names{"b"});
}

// Guards against grants to a gateway that crashed while its requests waited:
// those grants would not be used.
TEST_F(start_queues, drop_requests_that_are_not_repeated)
{
    queue.update_status(idle_engine(), false, at(0));
    queue.request_start(request_for("dead"), at(0));
    queue.request_start(request_for("alive", 2000, 2500), at(0));
    const int later = static_cast<int>(start_request_timeout.count());
    queue.request_start(request_for("alive", 2000, 2500), at(later - 100));
    EXPECT_EQ(grant(later), names{"alive"});
}

TEST_F(start_queues, grant_nothing_at_an_engine_that_is_leaving)
{
    queue.update_status(idle_engine(), true, at(0));
    queue.request_start(request_for("a"), at(0));
    EXPECT_EQ(grant(0), names{});
    EXPECT_TRUE(queue.leaving());
}

TEST_F(start_queues, keep_to_the_slots_of_the_engine)
{
    queue.set_slots(2);
    queue.update_status(engine_with({100, 100}), false, at(0));
    queue.request_start(request_for("a"), at(0));
    EXPECT_EQ(grant(0), names{});
    queue.update_status(engine_with({100}), false, at(50));
    EXPECT_EQ(grant(50), names{"a"});
}

// A gateway that reaches no monitor sends requests without a start grant.
TEST_F(start_queues, count_requests_sent_without_a_grant)
{
    queue.update_status(idle_engine(), false, at(0));
    queue.request_start(request_for("a"), at(0));
    ASSERT_EQ(grant(0), names{"a"});
    auto status = idle_engine();
    status.running = 1;
    status.starting = 1;
    status.queued = 3;
    queue.update_status(status, false, at(280));
    queue.request_start(request_for("b"), at(280));
    EXPECT_EQ(grant(290), names{});
}

// Guards against overloading an engine after a restart of its monitor: without
// grants of its own, the monitor has to estimate the queued prompts by the
// length of the first one.
TEST_F(start_queues, estimate_queued_prompts_by_the_first)
{
    auto status = idle_engine();
    status.running = 1;
    status.starting = 1;
    status.queued = 3;
    status.next_prompt_tokens = 2100;
    queue.update_status(status, false, at(0));
    EXPECT_EQ(queue.load_estimate().prefill_backlog(at(0)), milliseconds(1200));
    queue.request_start(request_for("a"), at(0));
    EXPECT_EQ(grant(10), names{});
}

TEST_F(start_queues, are_bounded)
{
    for (std::size_t i = 0; i < 2 * max_waiting_starts; ++i)
        queue.request_start(request_for(std::to_string(i)), at(0));
    EXPECT_EQ(queue.waiting(), max_waiting_starts);
}

TEST(prefill_speeds, start_from_the_prior_and_follow_measurements)
{
    prefill_speed speed;
    EXPECT_DOUBLE_EQ(speed.tokens_per_ms(), 7);
    // An engine three times as fast as the prior, for ten seconds.
    for (int i = 0; i < 100; ++i) {
        speed.record_prefill_time(milliseconds(100));
        speed.record_prompt(2100);
    }
    EXPECT_NEAR(speed.tokens_per_ms(), 21, 3);
    // The engine becomes slow; the estimate follows within half a minute.
    for (int i = 0; i < 300; ++i) {
        speed.record_prefill_time(milliseconds(100));
        speed.record_prompt(200);
    }
    EXPECT_NEAR(speed.tokens_per_ms(), 2, 1);
}

// A corrupt report must not stop an engine permanently.
TEST(prefill_speeds, stay_within_the_plausible_range)
{
    prefill_speed speed;
    speed.record_prefill_time(std::chrono::hours(10));
    EXPECT_GT(speed.tokens_per_ms(), 0.1);
    speed.record_prompt(std::uint64_t(1) << 60);
    EXPECT_LE(speed.tokens_per_ms(), 350);
    speed.record_prefill_time(milliseconds(-5));
    EXPECT_LE(speed.tokens_per_ms(), 350);
}

} // namespace
} // namespace cyclamenrun

#include "start_queue.hpp"

#include <gtest/gtest.h>
#include <string>

namespace cyclamenrun
{
namespace
{

constexpr std::uint64_t memory = 20000;
constexpr unsigned slots = 24;
/** An hour after the epoch: zero stands for "never". */
const time_point start{std::chrono::hours(1)};

time_point at(int ms)
{
    return start + milliseconds(ms);
}

start_request wanting(const std::string& id, std::uint64_t prompt = 2000,
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

engine_view idle_engine()
{
    engine_view view;
    view.memory_total = memory;
    return view;
}

/** An engine that runs generations of so many tokens of memory each. */
engine_view engine_with(const std::vector<std::uint64_t>& sizes)
{
    auto view = idle_engine();
    for (const auto size : sizes) {
        view.generations.push_back(
            {"held" + std::to_string(view.generations.size()), size});
        view.memory_used += size;
    }
    view.running = static_cast<std::uint32_t>(sizes.size());
    return view;
}

std::vector<std::string> ids(const std::vector<start_request>& given)
{
    std::vector<std::string> result;
    result.reserve(given.size());
    for (const auto& each : given)
        result.push_back(each.id);
    return result;
}

class start_queues : public testing::Test
{
protected:
    start_queues() { queue.set_slots(slots); }

    std::vector<std::string> give(int ms) { return ids(queue.give(at(ms))); }

    start_queue queue;
};

using names = std::vector<std::string>;

// An engine has just come. Ten gateways see that it is empty and all send to
// it, so that the last of their callers waits for nine prompts to be read
// while engines beside it have nothing to read.
TEST_F(start_queues, give_a_new_engine_one_start_at_a_time)
{
    queue.take_view(idle_engine(), false, at(0));
    for (int i = 0; i < 10; ++i)
        queue.ask(wanting(std::to_string(i)), at(0));
    EXPECT_EQ(give(0), names{"0"});
    EXPECT_EQ(give(100), names{});
    // 2,000 tokens are read in 286 ms; the next comes a little before.
    EXPECT_EQ(queue.next_event(at(100)), at(256));
    EXPECT_EQ(give(256), names{"1"});
    EXPECT_EQ(queue.waiting(), 8U);
}

TEST_F(start_queues, nothing_starts_before_the_engine_has_said_a_word)
{
    queue.ask(wanting("a"), at(0));
    EXPECT_EQ(give(0), names{});
    queue.take_view(idle_engine(), false, at(10));
    EXPECT_EQ(give(10), names{"a"});
}

TEST_F(start_queues, let_those_first_whose_time_is_up_first)
{
    queue.take_view(idle_engine(), false, at(0));
    queue.ask(wanting("later", 2000, 1500), at(0));
    queue.ask(wanting("sooner", 2000, 900), at(0));
    EXPECT_EQ(give(0), names{"sooner"});
}

// The engine is behind. A caller whose answer is late already takes the place
// of one whose answer would be on time, and then that one is late as well.
TEST_F(start_queues, let_the_late_wait_for_those_who_can_be_on_time)
{
    queue.take_view(idle_engine(), false, at(0));
    queue.ask(wanting("late", 2000, 100), at(0));
    queue.ask(wanting("on_time", 2000, 1500), at(0));
    EXPECT_EQ(give(0), names{"on_time"});
    EXPECT_EQ(give(260), names{"late"});
}

start_request of_team(const std::string& team, const std::string& id,
                      int due_ms = 1500)
{
    auto request = wanting(id, 2000, due_ms);
    request.team = team;
    return request;
}

/** Three of one team's generations, 40% of the memory, and one of another's. */
void run_a_flood(start_queue& queue)
{
    std::vector<std::uint64_t> sizes;
    std::vector<std::string> running;
    queue.take_view(idle_engine(), false, at(0));
    for (const std::string id : {"f1", "f2", "f3", "c1"}) {
        queue.ask(of_team(id[0] == 'f' ? "flood" : "calm", id), at(0));
        EXPECT_EQ(queue.give(at(0)).size(), 1U);
        sizes.push_back(2700);
        running.push_back(id);
        auto view = engine_with(sizes);
        for (std::size_t i = 0; i < running.size(); ++i)
            view.generations[i].id = running[i];
        queue.take_view(view, false, at(0));
    }
}

// A team sends many times its usual: its generations fill the engine, and
// the callers of other teams wait behind it until they are late.
TEST_F(start_queues, let_other_teams_before_one_that_holds_most)
{
    run_a_flood(queue);
    queue.ask(of_team("flood", "f4", 1600), at(1200));
    queue.ask(of_team("calm", "c2", 1700), at(1200));
    EXPECT_EQ(give(1200), names{"c2"});
}

// Nobody else wants the engine: a flood may have all of it.
TEST_F(start_queues, hold_no_team_back_where_no_other_waits)
{
    run_a_flood(queue);
    queue.ask(of_team("flood", "f4"), at(1200));
    EXPECT_EQ(give(1200), names{"f4"});
}

// A flood's callers that are late already wait behind all others for as long
// as it lasts, and leave in the end with nothing: they are to be told.
TEST_F(start_queues, say_who_is_late_and_passed_over)
{
    run_a_flood(queue);
    const auto late = of_team("flood", "late", 1200);
    EXPECT_FALSE(queue.is_passed_over(late, at(1200)));
    queue.ask(of_team("new", "n1", 1400), at(1200));
    EXPECT_TRUE(queue.is_passed_over(late, at(1200)));
    EXPECT_FALSE(
        queue.is_passed_over(of_team("flood", "on_time", 2700), at(1200)));
    EXPECT_FALSE(queue.is_passed_over(of_team("new", "other", 1200), at(1200)));
}

// A long prompt waits for memory while a short one behind it would fit.
TEST_F(start_queues, let_a_smaller_one_go_before_what_does_not_fit)
{
    queue.take_view(engine_with({4000, 4000, 4000}), false, at(0));
    queue.ask(wanting("large", 6000, 500), at(0));
    queue.ask(wanting("small", 1000, 1500), at(0));
    EXPECT_EQ(give(0), names{"small"});
    queue.take_view(engine_with({4000}), false, at(200));
    EXPECT_EQ(give(200), names{"large"});
}

// What runs grows, token by token. Filled to the brim, the engine would drop
// an answer in mid stream to make room, and read it in again later.
TEST_F(start_queues, leave_room_for_what_runs_to_grow)
{
    queue.take_view(engine_with({4000, 4000, 4000, 4000}), false, at(0));
    queue.ask(wanting("a", 3900), at(0));
    EXPECT_EQ(give(0), names{});
    queue.ask(wanting("b", 2000), at(0));
    EXPECT_EQ(give(0), names{"b"});
    // Alone it may be as large as the memory.
    queue.end("a");
    queue.take_view(idle_engine(), false, at(1000));
    queue.ask(wanting("whole", memory), at(1000));
    EXPECT_EQ(give(1000), names{"whole"});
}

TEST_F(start_queues, count_a_start_until_the_engine_has_begun_it)
{
    queue.take_view(engine_with({8000}), false, at(0));
    queue.ask(wanting("a", 6000), at(0));
    ASSERT_EQ(give(0), names{"a"});
    // Its prompt is being read, and its memory is in the engine's word.
    auto view = engine_with({8000});
    view.running = 2;
    view.starting = 1;
    view.memory_used += 6000;
    queue.take_view(view, false, at(100));
    queue.ask(wanting("b", 5000), at(100));
    EXPECT_EQ(give(840), names{}); // 19,000 and no room to grow
    queue.ask(wanting("b", 2000), at(800));
    EXPECT_EQ(give(840), names{"b"});
}

// A summary of ten tokens begins and ends between two looks at the engine. Its
// start must not count there for ever.
TEST_F(start_queues, forget_a_start_that_came_and_went_unseen)
{
    queue.take_view(idle_engine(), false, at(0));
    queue.ask(wanting("short"), at(0));
    ASSERT_EQ(give(0), names{"short"});
    queue.take_view(idle_engine(), false, at(100));
    EXPECT_TRUE(queue.was_given("short"));
    queue.take_view(idle_engine(), false, at(200));
    EXPECT_FALSE(queue.was_given("short"));
}

// A gateway that got two starts uses one. The other must go to whom waits.
TEST_F(start_queues, give_to_another_what_is_not_used)
{
    queue.take_view(idle_engine(), false, at(0));
    queue.ask(wanting("a"), at(0));
    queue.ask(wanting("b"), at(0));
    ASSERT_EQ(give(0), names{"a"});
    queue.end("a");
    EXPECT_EQ(give(3), names{"b"});
}

// A gateway dies while its requests wait. Nobody would use their starts.
TEST_F(start_queues, forget_who_falls_silent)
{
    queue.take_view(idle_engine(), false, at(0));
    queue.ask(wanting("dead"), at(0));
    queue.ask(wanting("alive", 2000, 2500), at(0));
    const int later = static_cast<int>(start_silence.count());
    queue.ask(wanting("alive", 2000, 2500), at(later - 100));
    EXPECT_EQ(give(later), names{"alive"});
}

TEST_F(start_queues, nothing_starts_at_an_engine_that_leaves)
{
    queue.take_view(idle_engine(), true, at(0));
    queue.ask(wanting("a"), at(0));
    EXPECT_EQ(give(0), names{});
    EXPECT_TRUE(queue.leaving());
}

TEST_F(start_queues, keep_to_the_slots_of_the_engine)
{
    queue.set_slots(2);
    queue.take_view(engine_with({100, 100}), false, at(0));
    queue.ask(wanting("a"), at(0));
    EXPECT_EQ(give(0), names{});
    queue.take_view(engine_with({100}), false, at(50));
    EXPECT_EQ(give(50), names{"a"});
}

// A gateway that hears no monitor sends without asking.
TEST_F(start_queues, count_what_was_sent_unasked)
{
    queue.take_view(idle_engine(), false, at(0));
    queue.ask(wanting("a"), at(0));
    ASSERT_EQ(give(0), names{"a"});
    auto view = idle_engine();
    view.running = 1;
    view.starting = 1;
    view.queued = 3;
    queue.take_view(view, false, at(280));
    queue.ask(wanting("b"), at(280));
    EXPECT_EQ(give(290), names{});
}

// A monitor has just started again beside a crowded engine: it has let nobody
// start there yet and must not take the prompts that wait for nothing.
TEST_F(start_queues, take_the_first_in_the_queue_for_the_like_of_all)
{
    auto view = idle_engine();
    view.running = 1;
    view.starting = 1;
    view.queued = 3;
    view.next_tokens = 2100;
    queue.take_view(view, false, at(0));
    EXPECT_EQ(queue.outlook().unread(at(0)), milliseconds(1200));
    queue.ask(wanting("a"), at(0));
    EXPECT_EQ(give(10), names{});
}

TEST_F(start_queues, are_bounded)
{
    for (std::size_t i = 0; i < 2 * most_waiting_starts; ++i)
        queue.ask(wanting(std::to_string(i)), at(0));
    EXPECT_EQ(queue.waiting(), most_waiting_starts);
}

TEST(reading_speeds, begin_with_the_prior_and_learn)
{
    reading_speed speed;
    EXPECT_DOUBLE_EQ(speed.tokens_per_ms(), 7);
    // An engine three times as fast, seen for ten seconds.
    for (int i = 0; i < 100; ++i) {
        speed.was_busy(milliseconds(100));
        speed.read(2100);
    }
    EXPECT_NEAR(speed.tokens_per_ms(), 21, 3);
    // It turns slow; half a minute later that is known.
    for (int i = 0; i < 300; ++i) {
        speed.was_busy(milliseconds(100));
        speed.read(200);
    }
    EXPECT_NEAR(speed.tokens_per_ms(), 2, 1);
}

// A word that is spoiled must not stop an engine for good.
TEST(reading_speeds, stay_within_reason)
{
    reading_speed speed;
    speed.was_busy(std::chrono::hours(10));
    EXPECT_GT(speed.tokens_per_ms(), 0.1);
    speed.read(std::uint64_t(1) << 60);
    EXPECT_LE(speed.tokens_per_ms(), 350);
    speed.was_busy(milliseconds(-5));
    EXPECT_LE(speed.tokens_per_ms(), 350);
}

} // namespace
} // namespace cyclamenrun

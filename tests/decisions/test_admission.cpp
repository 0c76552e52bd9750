#include "admission.hpp"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace cyclamenrun
{
namespace
{

using namespace std::chrono_literals;

// Runs the same cases each time, unless the environment sets another seed.
const int seeded = setenv("RC_PARAMS", "seed=20261202", 0);

const time_point start = time_point{} + 1h;

waiting_work work_of(work_id id, const std::string& team,
                     std::uint32_t prompt = 100)
{
    waiting_work work;
    work.id = id;
    work.team = team;
    work.service = "redactor";
    work.prompt_tokens = prompt;
    work.max_output_tokens = 4096;
    work.deadline = start + 10min;
    return work;
}

/** Generates `length` tokens of a started work item and completes it. */
void complete_work(admission& controller, work_id id, std::uint32_t length,
                   time_point now)
{
    controller.record_output_tokens(id, length, now);
    controller.record_end(id, true, now);
}

void learn_lengths(admission& controller, const std::string& team,
                   std::uint32_t length, int times)
{
    for (int i = 0; i < times; ++i) {
        const work_id id = 1'000'000 + i;
        ASSERT_TRUE(controller.enqueue(work_of(id, team), start));
        ASSERT_EQ(controller.admit(start).size(), 1U);
        complete_work(controller, id, length, start);
    }
}

RC_GTEST_PROP(admission_property, counts_are_conserved_for_any_events, ())
{
    admission_settings settings;
    settings.memory_tokens = 5'000;
    settings.max_running = 8;
    settings.max_queued = 12;
    admission controller(settings);
    std::map<work_id, bool> present; // id, and whether it was admitted
    time_point now = start;
    work_id last_id = 0;

    const auto steps = *rc::gen::container<std::vector<int>>(
        200, rc::gen::inRange(0, 1'000'000));
    for (const int draw : steps) {
        now += milliseconds(draw % 70);
        const int action = draw % 5;
        const auto pick = [&] {
            auto found = present.begin();
            std::advance(found, draw / 5 % present.size());
            return found;
        };
        if (action <= 1) {
            waiting_work work = work_of(
                ++last_id, "team" + std::to_string(draw % 3), draw % 700);
            work.deadline = now + milliseconds(1 + draw % 2000);
            work.prefix_blocks.assign(draw % 4, 7 + draw % 2);
            work.suspect = draw % 17 == 0;
            work.uses_memory = draw % 13 != 0;
            if (controller.enqueue(work, now))
                present[last_id] = false;
        } else if (action == 2 && !present.empty()) {
            controller.record_output_tokens(pick()->first, draw % 40, now);
        } else if (action == 3 && !present.empty()) {
            const auto chosen = pick();
            if (chosen->second)
                controller.record_end(chosen->first, draw % 2 == 0, now);
            else
                RC_ASSERT(controller.remove(chosen->first, now));
            present.erase(chosen);
        }
        for (const work_id id : controller.expired(now)) {
            RC_ASSERT(present.contains(id) && !present[id]);
            present.erase(id);
        }
        for (const work_id id : controller.admit(now)) {
            RC_ASSERT(present.contains(id) && !present[id]);
            present[id] = true;
        }
        const auto running = static_cast<std::size_t>(
            std::count_if(present.begin(), present.end(),
                          [](const auto& item) { return item.second; }));
        RC_ASSERT(controller.running() == running);
        RC_ASSERT(controller.queued() == present.size() - running);
        RC_ASSERT(running <= settings.max_running);
    }
    for (const auto& [id, admitted] : present)
        RC_ASSERT(controller.remove(id, now));
    RC_ASSERT(controller.memory_used() == 0U);
    RC_ASSERT(controller.running() == 0U && controller.queued() == 0U);
    RC_ASSERT(controller.queued_tokens() == 0U);
    RC_ASSERT(controller.next_event() == time_point::max());
}

// Guards against preemption in the middle of an answer: if work were admitted
// by the memory in use at that time, the engine would run out of memory when
// all answers grow, and would restart some of them. If the lengths are like the
// learnt ones, the admitted work fits until it ends.
TEST(admission, admits_no_more_than_fits_when_lengths_are_as_learnt)
{
    admission_settings settings;
    settings.memory_tokens = 20'000;
    settings.overflow_bound = 0.01;
    settings.max_prefill_tokens = 10'000; // so that only memory limits
    admission controller(settings);
    learn_lengths(controller, "survey", 900, 100);
    for (work_id id = 1; id <= 60; ++id)
        std::ignore = controller.enqueue(work_of(id, "survey"), start);

    std::vector<work_id> running = controller.admit(start);
    EXPECT_GE(running.size(), 14U); // at most 20 could fit until they end
    for (int made = 0; made < 900; made += 30) {
        for (const work_id id : running)
            controller.record_output_tokens(id, 30, start);
        for (const work_id id : controller.admit(start))
            running.push_back(id);
        EXPECT_LE(controller.memory_used(), settings.memory_tokens);
    }
}

// Guards against one team that delays another: if requests started in order of
// arrival, a single request of one team would wait for minutes behind a hundred
// long ones of another team. It has to start as soon as there is room.
TEST(admission, a_team_with_many_requests_does_not_delay_one_with_few)
{
    admission_settings settings;
    settings.max_running = 4;
    admission controller(settings);
    for (work_id id = 1; id <= 100; ++id)
        std::ignore = controller.enqueue(work_of(id, "office"), start);
    auto running = controller.admit(start);
    for (work_id id = 1; running.size() < 4; ++id) {
        // The first token ends an item's prefill, so the next one can start.
        controller.record_output_tokens(running.back(), 50, start);
        const auto more = controller.admit(start);
        ASSERT_FALSE(more.empty()) << id;
        running.insert(running.end(), more.begin(), more.end());
    }
    controller.record_output_tokens(running.back(), 50, start);
    ASSERT_TRUE(controller.enqueue(work_of(500, "shop"), start));

    complete_work(controller, running.front(), 1, start);
    EXPECT_EQ(controller.admit(start), std::vector<work_id>{500});
}

// In a burst a caller has to be refused at once with a retry_after. The times
// of several callers have to differ, or the callers would come back together
// and be refused again.
TEST(admission, a_full_queue_refuses_with_a_time_from_its_own_drain_rate)
{
    admission_settings settings;
    settings.max_running = 1;
    settings.max_queued = 10;
    settings.parts.fair_share = false;
    settings.max_wait = 1h;
    admission controller(settings);
    work_id next = 1;
    while (controller.enqueue(work_of(next, "survey"), start))
        ++next;
    EXPECT_EQ(next, 11U);

    // One work item completes every 2 s for a minute, with a full queue.
    time_point now = start;
    for (int i = 0; i < 30; ++i) {
        const auto started = controller.admit(now);
        ASSERT_EQ(started.size(), 1U);
        ASSERT_TRUE(controller.enqueue(work_of(next++, "survey"), now));
        now += 2s;
        complete_work(controller, started.front(), 10, now);
    }
    ASSERT_EQ(controller.admit(now).size(), 1U);
    ASSERT_TRUE(controller.enqueue(work_of(next++, "survey"), now));
    const auto first = controller.enqueue(work_of(900, "survey"), now);
    const auto second = controller.enqueue(work_of(901, "survey"), now);
    ASSERT_FALSE(first);
    EXPECT_EQ(first.error().kind, refusal_kind::not_run);
    EXPECT_EQ(first.error().reason, refusal_reason::queue_full);
    EXPECT_NEAR(first.error().retry_after->count(), 2000, 300);
    EXPECT_NEAR(second.error().retry_after->count(), 4000, 600);
    EXPECT_NEAR(controller.expected_wait(now).count(), 2000, 300);
}

TEST(admission, work_that_would_wait_beyond_its_deadline_is_refused_at_once)
{
    admission_settings settings;
    settings.max_wait = 1h; // so that only the deadline limits
    settings.max_running = 1;
    admission controller(settings);
    waiting_work late = work_of(1, "survey");
    late.deadline = start;
    EXPECT_EQ(controller.enqueue(late, start).error().reason,
              refusal_reason::deadline_passed);

    time_point now = start;
    for (work_id id = 10; id < 14; ++id)
        ASSERT_TRUE(controller.enqueue(work_of(id, "survey"), now));
    for (int i = 0; i < 3; ++i) { // one work item completes every 10 s
        const auto started = controller.admit(now);
        ASSERT_EQ(started.size(), 1U);
        now += 10s;
        complete_work(controller, started.front(), 10, now);
    }
    waiting_work soon = work_of(20, "survey");
    soon.deadline = now + 15s;
    EXPECT_EQ(controller.enqueue(soon, now).error().reason,
              refusal_reason::queue_full);
}

// A suspect was running when an upstream was lost. It runs alone, so that a
// second loss identifies it as the cause.
TEST(admission, a_suspect_runs_alone_and_is_not_starved)
{
    admission controller(admission_settings{});
    ASSERT_TRUE(controller.enqueue(work_of(1, "a"), start));
    ASSERT_EQ(controller.admit(start).size(), 1U);
    waiting_work suspect = work_of(2, "a");
    suspect.suspect = true;
    ASSERT_TRUE(controller.enqueue(suspect, start));
    EXPECT_TRUE(controller.admit(start).empty());

    ASSERT_TRUE(controller.enqueue(work_of(3, "b"), start));
    EXPECT_EQ(controller.admit(start + 1s), std::vector<work_id>{3});
    ASSERT_TRUE(controller.enqueue(work_of(4, "b"), start));
    // The suspect has waited long enough to block other starts.
    EXPECT_TRUE(controller.admit(start + 11s).empty());
    complete_work(controller, 1, 5, start + 11s);
    complete_work(controller, 3, 5, start + 11s);
    EXPECT_EQ(controller.admit(start + 12s), std::vector<work_id>{2});
    controller.record_end(2, true, start + 13s);
    EXPECT_EQ(controller.admit(start + 13s), std::vector<work_id>{4});
}

// Guards against overfilling an engine that still runs work of a previous
// agent: the new agent does not count that memory by itself.
TEST(admission, memory_of_external_work_counts_as_taken)
{
    admission_settings settings;
    settings.memory_tokens = 10'000;
    admission controller(settings);
    controller.set_external_memory(9'800);
    ASSERT_TRUE(controller.enqueue(work_of(1, "a"), start));
    ASSERT_TRUE(controller.enqueue(work_of(2, "a"), start));
    // A work item that runs alone starts even if it does not fit.
    EXPECT_EQ(controller.admit(start).size(), 1U);
    controller.record_output_tokens(1, 1, start);
    EXPECT_TRUE(controller.admit(start).empty());
    controller.set_external_memory(0);
    EXPECT_EQ(controller.admit(start), std::vector<work_id>{2});
}

} // namespace
} // namespace cyclamenrun

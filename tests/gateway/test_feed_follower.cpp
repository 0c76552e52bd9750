#include "feed_follower.hpp"
#include "link_loop.hpp"

#include <condition_variable>
#include <deque>
#include <future>
#include <gtest/gtest.h>
#include <mutex>
#include <thread>

namespace cyclamenrun
{
namespace
{

/**
 * Answers each call with the next answer of a script. Calls after the end of
 * the script get no answer.
 */
class scripted_feed : public directory_feed<int>
{
public:
    using answer = tl::expected<directory_page<int>, directory_problem>;
    struct call {
        bool newest;
        std::uint64_t offset;
    };

    explicit scripted_feed(std::deque<answer> script)
        : script_(std::move(script))
    {
    }

    void read_newest(time_point, answer_handler on_answer,
                     page_handler) override
    {
        respond({true, 0}, on_answer);
    }
    void read_from(std::uint64_t offset, milliseconds, time_point,
                   answer_handler on_answer) override
    {
        respond({false, offset}, on_answer);
    }

    /** Waits for `count` calls, 10 s at most; returns the calls so far. */
    std::vector<call> wait_for_calls(std::size_t count)
    {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, std::chrono::seconds(10),
                          [&] { return calls_.size() >= count; });
        return calls_;
    }

private:
    void respond(const call& made, const answer_handler& on_answer)
    {
        std::optional<answer> next;
        {
            const std::scoped_lock lock(mutex_);
            calls_.push_back(made);
            changed_.notify_all();
            if (script_.empty())
                return;
            next = script_.front();
            script_.pop_front();
        }
        on_answer(*next);
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<answer> script_;
    std::vector<call> calls_;
};

directory_page<int> page(std::vector<int> items, std::uint64_t next)
{
    return {std::move(items), next};
}

/** What a follower has reported through its hooks. */
struct follower_record {
    std::vector<int> items;
    int complete_sets = 0;
    int received_pages = 0;
    int received_items = 0;
    int received_whole = 0;
    int confirmed_count = 0;
    int lost = 0;
    int regained = 0;
};

/** Runs a script to its end; returns what the follower reported. */
follower_record follow(scripted_feed::answer first,
                       std::deque<scripted_feed::answer> rest,
                       std::vector<scripted_feed::call>& calls)
{
    rest.push_front(std::move(first));
    const auto count = rest.size() + 1;
    auto feed = std::make_shared<scripted_feed>(std::move(rest));
    follower_record record;
    feed_timing timing;
    timing.first_retry_delay = milliseconds(1);
    timing.max_retry_delay = milliseconds(4);
    {
        link_loop loop;
        feed_follower<int>::hooks on;
        on.items = [&](std::vector<int>&& items, bool whole) {
            record.items.insert(record.items.end(), items.begin(), items.end());
            record.complete_sets += whole ? 1 : 0;
        };
        on.received = [&](const directory_page<int>& received, bool whole,
                          boot_time) {
            ++record.received_pages;
            record.received_whole += whole ? 1 : 0;
            record.received_items += static_cast<int>(received.items.size());
        };
        on.confirmed = [&](boot_time) { ++record.confirmed_count; };
        on.lost = [&](directory_problem) { ++record.lost; };
        on.regained = [&](duration) { ++record.regained; };
        const auto follower = std::make_shared<feed_follower<int>>(
            loop.reactor(), feed, timing, std::move(on));
        loop.post([follower] { follower->start(); });
        calls = feed->wait_for_calls(count);
    }
    return record;
}

constexpr auto outage_problem = directory_problem::unavailable;
constexpr auto history_problem = directory_problem::history_gone;

TEST(feed_follower, reads_the_newest_and_then_later_records)
{
    std::vector<scripted_feed::call> calls;
    const auto record =
        follow(page({1, 2}, 5), {page({3}, 6), page({}, 6)}, calls);
    EXPECT_EQ(record.items, (std::vector{1, 2, 3}));
    EXPECT_EQ(record.complete_sets, 1);
    EXPECT_EQ(record.received_pages, 3) << "one has no items";
    EXPECT_EQ(record.received_items, 3);
    EXPECT_EQ(record.received_whole, 1);
    EXPECT_EQ(record.confirmed_count, 3);
    ASSERT_EQ(calls.size(), 4U);
    EXPECT_TRUE(calls[0].newest);
    EXPECT_EQ(calls[1].offset, 5U);
    EXPECT_EQ(calls[3].offset, 6U);
}

// The directory is unavailable for a while. The follower keeps the known
// records, continues at its offset, and reports the outage once.
// Guards against a lease that is renewed by the first part of what a gateway
// has missed, while the rest takes away keys.
TEST(feed_follower, confirms_nothing_while_the_directory_holds_later_records)
{
    auto part = page({2}, 2);
    part.partial = true;
    std::vector<scripted_feed::call> calls;
    const auto record = follow(page({1}, 1), {part, page({3}, 3)}, calls);
    EXPECT_EQ(record.items, (std::vector<int>{1, 2, 3}));
    EXPECT_EQ(record.received_pages, 3);
    EXPECT_EQ(record.confirmed_count, 2);
}

TEST(feed_follower, keeps_its_offset_through_an_outage)
{
    std::vector<scripted_feed::call> calls;
    const auto record = follow(page({1}, 5),
                               {tl::unexpected(outage_problem),
                                tl::unexpected(outage_problem), page({2}, 6)},
                               calls);
    EXPECT_EQ(record.items, (std::vector{1, 2}));
    EXPECT_EQ(record.lost, 1);
    EXPECT_EQ(record.regained, 1);
    EXPECT_EQ(calls[3].offset, 5U);
    // A failed call confirms nothing.
    EXPECT_EQ(record.confirmed_count, 2);
}

// The directory has deleted the history at the follower's offset. The records
// in between are lost, so the newest records have to be read again.
TEST(feed_follower, rereads_all_when_the_history_is_gone)
{
    std::vector<scripted_feed::call> calls;
    const auto record = follow(
        page({1}, 5),
        {tl::unexpected(history_problem), page({7}, 90), page({}, 90)}, calls);
    EXPECT_EQ(record.complete_sets, 2);
    EXPECT_EQ(record.items, (std::vector{1, 7}));
    EXPECT_TRUE(calls[2].newest);
    EXPECT_EQ(calls[3].offset, 90U);
    EXPECT_EQ(record.lost, 0);
}

/**
 * A follower that has read up to offset 5 and whose feed holds the next call.
 */
class held_follower : public testing::Test
{
protected:
    /** Holds each read from an offset until the test answers it. */
    class held_feed final : public directory_feed<int>
    {
    public:
        void read_newest(time_point, answer_handler on_answer,
                         page_handler) override
        {
            on_answer(page({1}, 5));
        }
        void read_from(std::uint64_t offset, milliseconds, time_point,
                       answer_handler on_answer) override
        {
            requested_offsets.push_back(offset);
            pending_answer = std::move(on_answer);
        }

        std::vector<std::uint64_t> requested_offsets;
        answer_handler pending_answer;
    };

    held_follower()
    {
        feed_follower<int>::hooks on;
        on.items = [this](std::vector<int>&& received, bool) {
            items.insert(items.end(), received.begin(), received.end());
        };
        on.pause = [this] { return pause; };
        on.confirmed = [this](boot_time sent_at) {
            confirmed.push_back(sent_at);
        };
        follower = std::make_shared<feed_follower<int>>(
            loop.reactor(), feed, feed_timing(), std::move(on));
        loop.post([this] { follower->start(); });
    }

    /** Runs a call on the follower's thread and waits for it. */
    template <typename Call>
    void on_loop(Call call)
    {
        std::promise<void> done;
        loop.post([&] {
            call();
            done.set_value();
        });
        done.get_future().wait();
    }

    void wait_for_call(std::size_t count)
    {
        for (int i = 0; i < 500; ++i) {
            bool reached = false;
            on_loop([&] { reached = feed->requested_offsets.size() >= count; });
            if (reached)
                return;
            std::this_thread::sleep_for(milliseconds(10));
        }
        ADD_FAILURE() << "no call " << count;
    }

    std::vector<int> items;
    std::vector<boot_time> confirmed;
    milliseconds pause{0};
    std::shared_ptr<held_feed> feed = std::make_shared<held_feed>();
    std::shared_ptr<feed_follower<int>> follower;
    link_loop loop;
};

// Direct calls to the directory keep a pause between them. A relay limits the
// rate itself, and a further pause would delay its updates.
TEST_F(held_follower, pauses_after_direct_calls_only)
{
    wait_for_call(1);
    pause = milliseconds(250);
    auto relayed = page({6}, 6);
    relayed.relayed = true;
    on_loop([&] { feed->pending_answer(relayed); });
    wait_for_call(2);
    const auto answered_at = steady_now();
    on_loop([&] { feed->pending_answer(page({7}, 7)); });
    wait_for_call(3);
    EXPECT_GE(steady_now() - answered_at, milliseconds(150));
    on_loop([&] { EXPECT_EQ(items, (std::vector{1, 6, 7})); });
}

// A call times out at one relay and is answered by another. The follower must
// report the time at which the answered call was sent: a later time would
// extend the lease beyond its term.
TEST_F(held_follower, reports_when_the_answered_call_was_sent)
{
    wait_for_call(1);
    auto relayed = page({}, 5);
    relayed.sent_at = boot_now() - milliseconds(300);
    on_loop([&] {
        feed->pending_answer(relayed);
        EXPECT_EQ(confirmed.back(), *relayed.sent_at);
    });
}

// After a long outage the next retry may be most of a second away. When another
// feed reaches the directory, this one must retry at once, or callers are
// refused without need.
TEST_F(held_follower, retries_at_once_when_the_directory_is_back)
{
    for (std::size_t call = 1; call <= 5; ++call) {
        wait_for_call(call);
        on_loop([&] { feed->pending_answer(tl::unexpected(outage_problem)); });
    }
    const auto back_at = steady_now();
    on_loop([&] { follower->retry_now(); });
    wait_for_call(6);
    EXPECT_LE(steady_now() - back_at, milliseconds(400));
    // No further call is made during a call, or while nothing is lost.
    on_loop([&] { follower->retry_now(); });
    pause = milliseconds(300);
    on_loop([&] { feed->pending_answer(page({6}, 6)); });
    on_loop([&] { follower->retry_now(); });
    std::this_thread::sleep_for(milliseconds(50));
    on_loop([&] { EXPECT_EQ(feed->requested_offsets.size(), 6U); });
}

} // namespace
} // namespace cyclamenrun

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

/** Answers each call with the next line of a script, then holds all. */
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

    void read_newest(time_point, answered on_answer) override
    {
        play({true, 0}, on_answer);
    }
    void read_from(std::uint64_t offset, milliseconds, time_point,
                   answered on_answer) override
    {
        play({false, offset}, on_answer);
    }

    /** Waits until the script is over. */
    std::vector<call> wait_for_calls(std::size_t count)
    {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, std::chrono::seconds(10),
                          [&] { return calls_.size() >= count; });
        return calls_;
    }

private:
    void play(const call& what, const answered& on_answer)
    {
        std::optional<answer> next;
        {
            const std::scoped_lock lock(mutex_);
            calls_.push_back(what);
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

struct follower_record {
    std::vector<int> items;
    int wholes = 0;
    int current = 0;
    int lost = 0;
    int regained = 0;
};

/** Runs a script to its end and returns what the follower told. */
follower_record follow(scripted_feed::answer first,
                       std::deque<scripted_feed::answer> rest,
                       std::vector<scripted_feed::call>& calls)
{
    rest.push_front(std::move(first));
    const auto count = rest.size() + 1;
    auto feed = std::make_shared<scripted_feed>(std::move(rest));
    follower_record record;
    feed_pace pace;
    pace.first_retry = milliseconds(1);
    pace.longest_retry = milliseconds(4);
    {
        link_loop loop;
        feed_follower<int>::hooks on;
        on.items = [&](std::vector<int>&& items, bool whole) {
            record.items.insert(record.items.end(), items.begin(), items.end());
            record.wholes += whole ? 1 : 0;
        };
        on.current = [&](boot_time) { ++record.current; };
        on.lost = [&](directory_problem) { ++record.lost; };
        on.regained = [&](duration) { ++record.regained; };
        const auto follower = std::make_shared<feed_follower<int>>(
            loop.reactor(), feed, pace, std::move(on));
        loop.post([follower] { follower->start(); });
        calls = feed->wait_for_calls(count);
    }
    return record;
}

constexpr auto away = directory_problem::unavailable;
constexpr auto gone = directory_problem::history_gone;

TEST(feed_follower, reads_the_newest_and_then_what_follows)
{
    std::vector<scripted_feed::call> calls;
    const auto record =
        follow(page({1, 2}, 5), {page({3}, 6), page({}, 6)}, calls);
    EXPECT_EQ(record.items, (std::vector{1, 2, 3}));
    EXPECT_EQ(record.wholes, 1);
    EXPECT_EQ(record.current, 3);
    ASSERT_EQ(calls.size(), 4U);
    EXPECT_TRUE(calls[0].newest);
    EXPECT_EQ(calls[1].offset, 5U);
    EXPECT_EQ(calls[3].offset, 6U);
}

// The store is away for a while and comes back: what was known is kept, the
// reader goes on where it was, and it is told once that it was away.
TEST(feed_follower, keeps_its_place_through_an_outage)
{
    std::vector<scripted_feed::call> calls;
    const auto record = follow(
        page({1}, 5),
        {tl::unexpected(away), tl::unexpected(away), page({2}, 6)}, calls);
    EXPECT_EQ(record.items, (std::vector{1, 2}));
    EXPECT_EQ(record.lost, 1);
    EXPECT_EQ(record.regained, 1);
    EXPECT_EQ(calls[3].offset, 5U);
    // Nothing is proved current by a call that failed.
    EXPECT_EQ(record.current, 2);
}

// The store has dropped its history while this process was away. The records
// in between are lost, so all there is has to be read anew.
TEST(feed_follower, starts_anew_when_the_history_is_gone)
{
    std::vector<scripted_feed::call> calls;
    const auto record =
        follow(page({1}, 5),
               {tl::unexpected(gone), page({7}, 90), page({}, 90)}, calls);
    EXPECT_EQ(record.wholes, 2);
    EXPECT_EQ(record.items, (std::vector{1, 7}));
    EXPECT_TRUE(calls[2].newest);
    EXPECT_EQ(calls[3].offset, 90U);
    EXPECT_EQ(record.lost, 0);
}

/** A follower whose feed has given items up to offset 5 and holds the next
 * call; everything happens on the caller's thread. */
class feed_news : public testing::Test
{
protected:
    /** Answers when the test says so. */
    class held_feed final : public directory_feed<int>
    {
    public:
        void read_newest(time_point, answered on_answer) override
        {
            on_answer(page({1}, 5));
        }
        void read_from(std::uint64_t offset, milliseconds, time_point,
                       answered on_answer) override
        {
            asked_from.push_back(offset);
            held = std::move(on_answer);
        }

        std::vector<std::uint64_t> asked_from;
        answered held;
    };

    feed_news()
    {
        feed_follower<int>::hooks on;
        on.items = [this](std::vector<int>&& taken, bool) {
            items.insert(items.end(), taken.begin(), taken.end());
        };
        on.read = [this](std::uint64_t from, const directory_page<int>&) {
            told_from.push_back(from);
        };
        on.pause = [this] { return pause; };
        on.reading = [this](std::uint64_t from) { reading = from; };
        feed_pace pace;
        pace.longest_put_off = milliseconds(600);
        follower = std::make_shared<feed_follower<int>>(loop.reactor(), feed,
                                                        pace, std::move(on));
        loop.post([this] { follower->start(); });
    }

    /** On the follower's thread, as all that it takes. */
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
            bool there = false;
            on_loop([&] { there = feed->asked_from.size() >= count; });
            if (there)
                return;
            std::this_thread::sleep_for(milliseconds(10));
        }
        ADD_FAILURE() << "no call " << count;
    }

    static directory_page<int> read_in_order(std::uint64_t from,
                                             std::vector<int> items)
    {
        directory_page<int> result;
        for (std::size_t i = 0; i < items.size(); ++i)
            result.offsets.push_back(from + i);
        result.next_offset = from + items.size();
        result.items = std::move(items);
        return result;
    }

    bool news(std::uint64_t from, std::vector<int> what)
    {
        bool taken = false;
        on_loop([&] {
            taken = follower->take_news(from, read_in_order(from, what));
        });
        return taken;
    }

    std::vector<int> items;
    std::vector<std::uint64_t> told_from;
    std::uint64_t reading = 0;
    milliseconds pause{0};
    std::shared_ptr<held_feed> feed = std::make_shared<held_feed>();
    std::shared_ptr<feed_follower<int>> follower;
    link_loop loop;
};

TEST_F(feed_news, goes_on_from_what_another_has_read)
{
    wait_for_call(1);
    EXPECT_TRUE(news(5, {6, 7}));
    // Overlaps what is known.
    EXPECT_TRUE(news(6, {7, 8}));
    on_loop([&] { feed->held(read_in_order(8, {9})); });
    wait_for_call(2);
    on_loop([&] {
        EXPECT_EQ(items, (std::vector{1, 6, 7, 8, 9}));
        EXPECT_EQ(feed->asked_from, (std::vector<std::uint64_t>{5, 9}));
        // Only what it has read itself.
        EXPECT_EQ(told_from, std::vector<std::uint64_t>{5});
    });
}

// A datagram was lost, and the next one begins behind the gap; or a gateway
// that was frozen wakes and tells what it read long ago. Taking either would
// skip a change or bring an upstream back that has gone.
TEST_F(feed_news, leaves_what_does_not_go_on_from_here)
{
    wait_for_call(1);
    EXPECT_FALSE(news(6, {9}));
    EXPECT_TRUE(news(5, {6, 7}));
    EXPECT_FALSE(news(5, {6}));
    EXPECT_FALSE(news(3, {4, 5, 6, 7}));
    on_loop([&] { EXPECT_EQ(items, (std::vector{1, 6, 7})); });
}

// The directory's answer was on its way when another's news overtook it. Its
// records must not be taken a second time, nor the place go back.
TEST_F(feed_news, overtakes_an_answer_without_harm)
{
    wait_for_call(1);
    EXPECT_TRUE(news(5, {6, 7, 8}));
    on_loop([&] { feed->held(read_in_order(5, {6, 7})); });
    wait_for_call(2);
    on_loop([&] {
        EXPECT_EQ(items, (std::vector{1, 6, 7, 8}));
        EXPECT_EQ(feed->asked_from.back(), 8U);
    });
}

// The one who read for all has died. Each reads for itself again, no later
// than it would have without the other.
TEST_F(feed_news, put_a_call_off_by_a_pause_and_no_more)
{
    wait_for_call(1);
    pause = milliseconds(200);
    on_loop([&] { feed->held(read_in_order(5, {6})); });
    std::this_thread::sleep_for(milliseconds(100));
    const auto told_at = steady_now();
    EXPECT_TRUE(news(6, {7}));
    wait_for_call(2);
    EXPECT_GE(steady_now() - told_at, milliseconds(200));
    EXPECT_LE(steady_now() - told_at, milliseconds(1200));
    on_loop([&] { EXPECT_EQ(feed->asked_from.back(), 7U); });
}

// The directory holds each call until something changes, so that all followers
// would wait there and be answered at once. One waits for all and says so; who
// is elsewhere in the feed reads for itself.
TEST_F(feed_news, let_one_wait_for_all)
{
    wait_for_call(1);
    on_loop([&] { EXPECT_EQ(reading, 5U); });
    pause = milliseconds(50);
    on_loop([&] { feed->held(read_in_order(5, {6})); });
    const auto began = steady_now();
    while (steady_now() - began < milliseconds(300)) {
        on_loop([&] { follower->take_reading(6); });
        std::this_thread::sleep_for(milliseconds(20));
    }
    on_loop([&] { EXPECT_EQ(feed->asked_from.size(), 1U); });
    EXPECT_TRUE(news(6, {7}));
    for (int i = 0; i < 5; ++i) {
        on_loop([&] { follower->take_reading(6); });
        std::this_thread::sleep_for(milliseconds(20));
    }
    on_loop([&] { EXPECT_EQ(feed->asked_from.size(), 2U); });
}

// The one who says that it reads is cut off from the directory and does not
// know. The others must not miss what leaves for as long as it goes on.
TEST_F(feed_news, bound_the_wait_for_one_that_is_never_answered)
{
    wait_for_call(1);
    pause = milliseconds(50);
    on_loop([&] { feed->held(read_in_order(5, {6})); });
    const auto began = steady_now();
    std::size_t calls = 1;
    while (calls < 2 && steady_now() - began < std::chrono::seconds(5)) {
        on_loop([&] {
            follower->take_reading(6);
            calls = feed->asked_from.size();
        });
        std::this_thread::sleep_for(milliseconds(20));
    }
    EXPECT_EQ(calls, 2U);
    EXPECT_GE(steady_now() - began, milliseconds(500));
    EXPECT_LE(steady_now() - began, milliseconds(1600));
}

// The directory was away for so long that the next try is most of a second
// off. Another feed has just reached it: waiting on would refuse callers who
// could be served.
TEST_F(feed_news, tries_again_at_once_when_the_directory_is_back)
{
    for (std::size_t call = 1; call <= 5; ++call) {
        wait_for_call(call);
        on_loop([&] { feed->held(tl::unexpected(away)); });
    }
    const auto back_at = steady_now();
    on_loop([&] { follower->try_again_now(); });
    wait_for_call(6);
    EXPECT_LE(steady_now() - back_at, milliseconds(400));
    // While a call is under way, and when nothing is lost, there is no other.
    on_loop([&] { follower->try_again_now(); });
    pause = milliseconds(300);
    on_loop([&] { feed->held(read_in_order(5, {6})); });
    on_loop([&] { follower->try_again_now(); });
    std::this_thread::sleep_for(milliseconds(50));
    on_loop([&] { EXPECT_EQ(feed->asked_from.size(), 6U); });
}

} // namespace
} // namespace cyclamenrun

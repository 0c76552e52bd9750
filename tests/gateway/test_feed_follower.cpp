#include "feed_follower.hpp"
#include "link_loop.hpp"

#include <condition_variable>
#include <deque>
#include <gtest/gtest.h>
#include <mutex>

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

} // namespace
} // namespace cyclamenrun

#include "directory_news.hpp"

#include "load.pb.h"

#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

upstream_record record(const std::string& id, bool draining = false)
{
    upstream_record result;
    result.id = id;
    result.service = "model";
    result.address = {"10.0.0.1", 80};
    result.failure_domain = "d";
    result.slots = 24;
    result.draining = draining;
    result.started_ms = 1700000000000;
    return result;
}

directory_page<upstream_change> page_of(std::uint64_t from,
                                        std::vector<upstream_change> changes)
{
    directory_page<upstream_change> page;
    for (std::size_t i = 0; i < changes.size(); ++i)
        page.offsets.push_back(from + i);
    page.next_offset = from + changes.size();
    page.items = std::move(changes);
    return page;
}

class directory_news_test : public testing::Test
{
protected:
    directory_news_test() : board({})
    {
        board.apply({"a", record("a")}, {}, false);
    }

    upstream_board board;
};

TEST_F(directory_news_test, leaves_heartbeats_out)
{
    const auto news = news_of(
        10, page_of(10, {{"a", record("a")}, {"b", record("b")}, {"c", {}}}),
        board);
    EXPECT_EQ(news.from, 10U);
    EXPECT_EQ(news.page.next_offset, 13U);
    ASSERT_EQ(news.page.items.size(), 1U);
    EXPECT_EQ(news.page.items[0].id, "b");
    EXPECT_EQ(news.page.offsets[0], 11U);
}

// An upstream says that it drains, and a moment later that it does not. Who
// is told the first must be told the second as well.
TEST_F(directory_news_test, tells_what_changes_back)
{
    const auto news = news_of(
        10, page_of(10, {{"a", record("a", true)}, {"a", record("a")}}), board);
    EXPECT_EQ(news.page.items.size(), 2U);
}

// A record had lapsed while the store was away from this gateway, which does
// not use it until it is back. Others may have seen it go.
TEST_F(directory_news_test, tells_what_was_in_doubt)
{
    board.apply({"a", std::nullopt}, {}, true);
    const auto news = news_of(10, page_of(10, {{"a", record("a")}}), board);
    EXPECT_EQ(news.page.items.size(), 1U);
}

TEST_F(directory_news_test, arrives_as_it_was_sent)
{
    const auto sent = news_of(
        10, page_of(10, {{"b", record("b", true)}, {"a", std::nullopt}}),
        board);
    const auto read = read_news(message_of(sent));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->from, 10U);
    EXPECT_EQ(read->page.next_offset, 12U);
    EXPECT_EQ(read->page.offsets, (std::vector<std::uint64_t>{10, 11}));
    ASSERT_EQ(read->page.items.size(), 2U);
    EXPECT_EQ(read->page.items[0].record, record("b", true));
    EXPECT_FALSE(read->page.items[1].record);
}

// A datagram was spoiled, or a stranger sends what it likes.
TEST_F(directory_news_test, is_refused_when_spoiled)
{
    const auto good =
        message_of(news_of(10, page_of(10, {{"b", record("b")}}), board));
    ASSERT_TRUE(read_news(good));
    const auto problem = [&](const auto& spoil) {
        auto message = good;
        spoil(message);
        const auto read = read_news(message);
        EXPECT_FALSE(read);
        return read ? news_problem::offsets : read.error();
    };
    EXPECT_EQ(problem([](auto& m) { m.mutable_changes(0)->set_offset(9); }),
              news_problem::offsets);
    EXPECT_EQ(problem([](auto& m) { m.mutable_changes(0)->set_offset(11); }),
              news_problem::offsets);
    EXPECT_EQ(problem([](auto& m) { *m.add_changes() = m.changes(0); }),
              news_problem::offsets);
    EXPECT_EQ(problem([](auto& m) { m.mutable_changes(0)->clear_id(); }),
              news_problem::record);
    EXPECT_EQ(problem([](auto& m) {
                  m.mutable_changes(0)->mutable_record()->set_address("x:1");
              }),
              news_problem::record);
    EXPECT_EQ(problem([](auto& m) {
                  m.mutable_changes(0)->mutable_record()->clear_service();
              }),
              news_problem::record);
}

} // namespace
} // namespace cyclamenrun

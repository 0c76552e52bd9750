#include "event_splitter.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenrun
{
namespace
{

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: t" + std::to_string(id) +
           "\n\n";
}

TEST(event_splitter, passes_complete_events_only)
{
    event_splitter splitter;
    EXPECT_EQ(splitter.feed(event(1) + "id: 2\nda"), event(1));
    EXPECT_EQ(splitter.feed("ta: t2\n"), "");
    EXPECT_EQ(splitter.feed("\n"), event(2));
    EXPECT_EQ(splitter.last_id(), 2U);
    EXPECT_EQ(splitter.events(), 2U);
}

// Guards against a corrupt event: an engine fails in the middle of an event,
// and the engine that continues the generation sends this event again from its
// start.
TEST(event_splitter, drops_an_incomplete_event_before_a_new_run)
{
    event_splitter splitter;
    ASSERT_EQ(splitter.feed(event(1) + "id: 2\nda"), event(1));
    splitter.restart();
    EXPECT_EQ(splitter.feed(event(2) + event(3)), event(2) + event(3));
}

TEST(event_splitter, drops_events_that_the_caller_has)
{
    event_splitter splitter(3);
    EXPECT_EQ(splitter.feed(event(2) + event(3) + event(4)), event(4));
}

TEST(event_splitter, reports_a_missing_event)
{
    event_splitter splitter;
    ASSERT_TRUE(splitter.feed(event(1)));
    const auto fed = splitter.feed(event(3));
    ASSERT_FALSE(fed);
    EXPECT_EQ(fed.error(), event_problem::gap);
}

TEST(event_splitter, passes_events_without_an_id_and_with_other_line_ends)
{
    event_splitter splitter;
    const std::string text = ": note\r\n\r\nid:1\r\ndata: x\r\n\r\n";
    EXPECT_EQ(splitter.feed(text), text);
    EXPECT_EQ(splitter.last_id(), 1U);
}

TEST(event_splitter, bounds_the_size_of_an_event)
{
    event_splitter splitter;
    const auto fed = splitter.feed(std::string(max_event_bytes + 1, 'x'));
    ASSERT_FALSE(fed);
    EXPECT_EQ(fed.error(), event_problem::too_large);
}

// Guards against a stream that is relayed for ever and says nothing: comments,
// fields without data, and one event again and again.
TEST(event_splitter, bounds_events_without_content)
{
    for (const std::string text :
         {": ping\n\n", "retry: 5\n\n", "id: 1\ndata: x\n\n"}) {
        event_splitter splitter;
        const auto pieces = max_empty_event_bytes / text.size();
        bool failed = false;
        for (std::size_t i = 0; i < pieces + 2 && !failed; ++i) {
            const auto fed = splitter.feed(text);
            failed = !fed;
            if (failed) {
                EXPECT_EQ(fed.error(), event_problem::no_content);
            }
        }
        EXPECT_TRUE(failed) << text;
    }
}

// Guards against a bound that ends a legitimate stream: one that is kept alive
// by comments, and a run that repeats all that the caller has.
TEST(event_splitter, long_streams_with_content_have_no_bound)
{
    constexpr int count = 50000;
    event_splitter splitter(count);
    for (int id = 1; id <= count; ++id)
        ASSERT_TRUE(splitter.feed(event(id) + ": ping\n\n")) << id;
    EXPECT_EQ(splitter.feed(event(count + 1)), event(count + 1));
}

RC_GTEST_PROP(event_splitter, passes_a_stream_unchanged_for_any_chunks, ())
{
    const auto count = *rc::gen::inRange(1, 20);
    std::string stream;
    for (int id = 1; id <= count; ++id)
        stream += event(id);
    event_splitter splitter;
    std::string passed;
    for (std::size_t at = 0; at < stream.size();) {
        const auto size = *rc::gen::inRange<std::size_t>(1, 40);
        const auto piece = splitter.feed(stream.substr(at, size));
        RC_ASSERT(piece.has_value());
        passed += *piece;
        at += size;
    }
    RC_ASSERT(passed == stream);
    RC_ASSERT(splitter.remainder().empty());
}

} // namespace
} // namespace cyclamenrun

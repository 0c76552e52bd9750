#include "sse_parser.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <vector>

namespace cyclamenrun
{
namespace
{

constexpr sse_limits small{16, 24};

struct parsed {
    std::vector<sse_event> events;
    tl::expected<void, sse_failure> state;
};

parsed parse(const std::vector<std::string>& pieces, sse_limits limits = {})
{
    parsed result;
    sse_parser parser(limits);
    for (const auto& piece : pieces)
        result.state = parser.feed(piece, [&result](sse_event&& event) {
            result.events.push_back(std::move(event));
            return true;
        });
    return result;
}

std::vector<std::string> cut(const std::string& text,
                             const std::vector<std::size_t>& sizes)
{
    std::vector<std::string> pieces;
    std::size_t at = 0;
    for (const auto size : sizes) {
        const auto length = std::min(size % 7, text.size() - at);
        pieces.push_back(text.substr(at, length));
        at += length;
    }
    pieces.push_back(text.substr(at));
    return pieces;
}

/** Text of bytes that are significant in the format, and some others. */
rc::Gen<std::string> event_text()
{
    return rc::gen::container<std::string>(
        rc::gen::elementOf(std::string("\n\n\n\r\r:: dataidevent")));
}

TEST(sse_parser, reads_fields_comments_and_every_line_end)
{
    const auto result =
        parse({": comment\r\nid: 7\r\nevent:end\ndata: a\rdata:b\n\r\n"
               "data\n\nid: 8\n\ndata: unfinished"});
    ASSERT_TRUE(result.state);
    EXPECT_EQ(result.events,
              (std::vector<sse_event>{{"7", "end", "a\nb"}, {"", "", ""}}));
}

TEST(sse_parser, oversized_lines_and_events_give_typed_errors)
{
    const auto line = parse({"data: 0123456789x"}, small);
    ASSERT_FALSE(line.state);
    EXPECT_EQ(line.state.error(), sse_failure::line_too_long);
    const auto event = parse({"data: 0123456789\ndata: 0123456789\n"
                              "data: 0123456789\n\n"},
                             small);
    ASSERT_FALSE(event.state);
    EXPECT_EQ(event.state.error(), sse_failure::event_too_large);
    EXPECT_TRUE(event.events.empty());
}

TEST(sse_parser, any_split_gives_the_same_events)
{
    EXPECT_TRUE(rc::check([](const std::vector<std::size_t>& sizes) {
        const auto text = *event_text();
        const auto whole = parse({text}, small);
        const auto pieces = parse(cut(text, sizes), small);
        RC_ASSERT(whole.events == pieces.events);
        RC_ASSERT(whole.state.has_value() == pieces.state.has_value());
        if (!whole.state)
            RC_ASSERT(whole.state.error() == pieces.state.error());
    }));
}

TEST(sse_parser, arbitrary_bytes_stay_within_the_limits)
{
    EXPECT_TRUE(rc::check([](const std::string& bytes) {
        const auto text = *event_text() + bytes;
        for (const auto& event : parse({text}, small).events)
            RC_ASSERT(event.data.size() <= small.max_event_bytes);
    }));
}

} // namespace
} // namespace cyclamenrun

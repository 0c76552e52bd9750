#include "generation_id.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace cyclamenrun
{
namespace
{

TEST(generation_id, a_position_round_trips)
{
    const stream_position position{{"vm-7", 0xabcdef, 12, 0xffff0000ffff}, 40};
    EXPECT_EQ(parse_stream_position(to_string(position)), position);
}

TEST(generation_id, rejects_invalid_positions)
{
    for (const auto* text :
         {"", ":", "vm", "vm:1:2:3", "vm:1:2:3:", "vm:1:2:3:4:", "vm:1:2:3:4:5",
          ":1:2:3:4", "vm:g:2:3:4", "vm:1:-2:3:4", "vm:1:2:3: 4",
          "vm:11112222333344445:2:3:4"})
        EXPECT_FALSE(parse_stream_position(text)) << text;
}

TEST(generation_id, any_bytes_are_parsed_or_rejected)
{
    EXPECT_TRUE(rc::check([](const std::string& bytes) {
        const auto position = parse_stream_position(bytes);
        if (position)
            RC_ASSERT(!position->generation.upstream.empty());
    }));
}

} // namespace
} // namespace cyclamenrun

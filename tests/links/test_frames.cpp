#include "link_frame_decoder.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace cyclamenrun
{
namespace
{

constexpr std::size_t bound = 64;

RC_GTEST_PROP(link_frames, round_trip_for_any_chunk_sizes, ())
{
    const auto payloads = *rc::gen::container<std::vector<std::string>>(
        rc::gen::resize(bound, rc::gen::arbitrary<std::string>()));
    std::string wire;
    for (const std::string& payload : payloads)
        append_frame(wire, payload);

    link_frame_decoder decoder(bound);
    std::vector<std::string> received;
    std::string_view rest = wire;
    while (!rest.empty()) {
        const auto size = *rc::gen::inRange<std::size_t>(1, bound);
        std::string_view piece = rest.substr(0, size);
        rest.remove_prefix(piece.size());
        while (!piece.empty()) {
            auto frame = decoder.next(piece);
            RC_ASSERT(frame.has_value());
            if (*frame)
                received.push_back(**frame);
        }
    }
    RC_ASSERT(received == payloads);
    RC_ASSERT(!decoder.mid_frame());
}

RC_GTEST_PROP(link_frames, random_bytes_never_yield_a_frame_over_the_limit,
              (const std::string& bytes))
{
    link_frame_decoder decoder(bound);
    std::string_view rest = bytes;
    while (!rest.empty()) {
        const std::size_t before = rest.size();
        const auto frame = decoder.next(rest);
        if (!frame)
            break;
        RC_ASSERT(rest.size() < before);
        RC_ASSERT(!*frame || (*frame)->size() <= bound);
    }
}

TEST(link_frames, a_length_over_the_limit_is_refused_before_the_payload)
{
    std::string wire;
    append_frame(wire, std::string(bound + 1, 'x'));
    link_frame_decoder decoder(bound);
    std::string_view prefix = std::string_view(wire).substr(0, 4);
    const auto frame = decoder.next(prefix);
    ASSERT_FALSE(frame);
    EXPECT_EQ(frame.error(), frame_error::too_large);
}

} // namespace
} // namespace cyclamenrun

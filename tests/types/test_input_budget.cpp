#include "input_budget.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <vector>

namespace cyclamenrun
{
namespace
{

constexpr std::size_t kib = 1024;
constexpr std::size_t limit = 4096 * kib;

TEST(input_budget, bounds_one_exchange_and_all_together)
{
    const auto budget = std::make_shared<input_budget>(limit);
    held_bytes first(std::make_shared<input_account>(budget));
    EXPECT_FALSE(first.update(limit / 2));
    EXPECT_EQ(first.update(limit / 2 + 1), input_excess::exchange);
    EXPECT_FALSE(first.update(limit / 2));
    held_bytes second(std::make_shared<input_account>(budget));
    EXPECT_EQ(second.update(limit / 4 + 1), input_excess::process);
    EXPECT_EQ(budget->held(), limit / 4 * 3 + 1);
}

// Guards against a few large messages that keep ordinary requests out.
TEST(input_budget, keeps_a_part_for_small_exchanges)
{
    const auto budget = std::make_shared<input_budget>(limit);
    const auto account = std::make_shared<input_account>(budget);
    std::vector<held_bytes> large;
    for (int i = 0; i < 2; ++i) {
        large.emplace_back(std::make_shared<input_account>(budget));
        large.back().update(limit / 8 * 3);
    }
    held_bytes small(std::make_shared<input_account>(budget));
    EXPECT_FALSE(small.update(input_budget::small_exchange));
    EXPECT_EQ(small.update(input_budget::small_exchange + 1),
              input_excess::process);
}

// Guards against a gateway that cannot read its configuration, and then serves
// nobody, because callers have filled its memory.
TEST(input_budget, does_not_refuse_what_is_essential)
{
    const auto budget = std::make_shared<input_budget>(limit);
    std::vector<held_bytes> others;
    for (int i = 0; i < 2; ++i) {
        others.emplace_back(std::make_shared<input_account>(budget));
        others.back().update(limit / 2);
    }
    held_bytes directory(
        std::make_shared<input_account>(budget, input_need::essential));
    EXPECT_FALSE(directory.update(limit / 4));
}

TEST(input_budget, lets_less_wait_for_each_reader_the_more_is_held)
{
    const auto budget = std::make_shared<input_budget>(limit * 8);
    EXPECT_EQ(budget->output_limit(), input_budget::max_output);
    held_bytes most(std::make_shared<input_account>(budget));
    most.update(limit * 6);
    EXPECT_EQ(budget->output_limit(), input_budget::min_output);
}

TEST(input_budget, follows_the_memory_of_the_machine)
{
    EXPECT_EQ(input_limit(0), input_budget::default_limit);
    EXPECT_EQ(input_limit(88), 22 * kib * kib);
    EXPECT_EQ(input_limit(1), 4 * kib * kib);
}

// Guards against bytes that stay counted after their holder is gone, or that
// are counted twice: the process would refuse more and more.
RC_GTEST_PROP(input_budget, counts_what_its_holders_hold, ())
{
    const auto budget = std::make_shared<input_budget>(limit);
    std::vector<held_bytes> holders(4);
    std::vector<std::size_t> sizes(4);
    for (int i = 0; i < 50; ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, 4);
        const auto size = *rc::gen::inRange<std::size_t>(0, limit);
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            holders[at] = held_bytes(std::make_shared<input_account>(budget));
            sizes[at] = 0;
            break;
        case 1: {
            held_bytes moved(std::move(holders[at]));
            holders[(at + 1) % 4] = std::move(moved);
            sizes[(at + 1) % 4] = std::exchange(sizes[at], 0);
            break;
        }
        default:
            if (holders[at].account())
                sizes[at] = size;
            holders[at].update(size);
        }
        std::size_t sum = 0;
        for (const auto each : sizes)
            sum += each;
        RC_ASSERT(budget->held() == sum);
    }
    holders.clear();
    RC_ASSERT(budget->held() == 0U);
}

} // namespace
} // namespace cyclamenrun

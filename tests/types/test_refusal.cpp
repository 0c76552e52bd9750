#include "refusal.hpp"

#include <gtest/gtest.h>
#include <set>

namespace cyclamenrun
{
namespace
{

TEST(refusal_names, every_reason_has_its_own_name_and_an_error_status)
{
    std::set<std::string_view> names;
    for (std::uint32_t number = 1; number <= 29; ++number) {
        const auto reason = refusal_reason_of(number);
        ASSERT_TRUE(reason) << number;
        EXPECT_TRUE(names.insert(name_of(*reason)).second) << number;
        EXPECT_GE(http_status(*reason), 400) << number;
    }
}

TEST(refusal_names, an_unknown_number_is_rejected)
{
    EXPECT_FALSE(refusal_reason_of(0));
    EXPECT_FALSE(refusal_reason_of(200));
    EXPECT_FALSE(refusal_kind_of(4));
}

} // namespace
} // namespace cyclamenrun

#include "configuration_lease.hpp"

#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

boot_time at(int ms)
{
    return boot_time(milliseconds(ms));
}

TEST(configuration_lease, is_not_valid_before_the_first_renewal)
{
    const configuration_lease lease(milliseconds(5000));
    EXPECT_FALSE(lease.valid(at(0)));
    EXPECT_FALSE(lease.age(at(0)));
}

// Guards against a lease that outlives its term when a team's key is revoked
// while this VM is suspended or cut off from the directory. The term counts
// from when the last confirming call was sent, since the answer may be delayed.
TEST(configuration_lease, ends_a_term_after_the_confirming_call_was_sent)
{
    configuration_lease lease(milliseconds(5000));
    lease.renew(at(1000));
    EXPECT_TRUE(lease.valid(at(5999)));
    EXPECT_FALSE(lease.valid(at(6000)));
    EXPECT_EQ(lease.age(at(1500)), milliseconds(500));
}

TEST(configuration_lease, ignores_an_older_confirmation)
{
    configuration_lease lease(milliseconds(5000));
    lease.renew(at(2000));
    lease.renew(at(1000));
    EXPECT_TRUE(lease.valid(at(6500)));
}

TEST(configuration_lease, without_a_term_does_not_end_after_a_renewal)
{
    configuration_lease lease(std::nullopt);
    EXPECT_FALSE(lease.valid(at(0)));
    lease.renew(at(0));
    EXPECT_TRUE(lease.valid(at(1000000)));
}

} // namespace
} // namespace cyclamenrun

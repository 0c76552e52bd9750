#include "team_authenticator.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <sstream>

namespace cyclamenrun
{
namespace
{

TEST(team_authenticator, a_key_authenticates_only_its_own_team)
{
    const auto north = make_team_key("north");
    const auto south = make_team_key("south");
    const team_authenticator teams(
        {{"north", make_key_hash(north)}, {"south", make_key_hash(south)}});
    EXPECT_EQ(teams.authenticate("Bearer " + north.reveal()), "north");
    EXPECT_EQ(teams.authenticate("bearer " + south.reveal()), "south");
    // The secret of one team with the name of the other.
    const auto swapped = "north" + south.reveal().substr(5);
    EXPECT_FALSE(teams.authenticate("Bearer " + swapped));
    for (const std::string wrong :
         {"", "Bearer", "Bearer ", "Bearer north", "Bearer north.",
          "Basic bm9ydGg6", "Bearer east.00", "Bearer  north.0"})
        EXPECT_FALSE(teams.authenticate(wrong)) << wrong;
    EXPECT_FALSE(
        teams.authenticate("Bearer north." + std::string(100000, 'a')));
}

TEST(key_hash, round_trips_as_text_and_rejects_malformed_text)
{
    const auto hash = make_key_hash(secret("k"));
    EXPECT_EQ(parse_key_hash(to_string(hash)), hash);
    EXPECT_FALSE(parse_key_hash(to_string(hash) + "00"));
    EXPECT_FALSE(parse_key_hash("zz" + to_string(hash).substr(2)));
}

TEST(secret, is_masked_when_printed)
{
    std::ostringstream stream;
    stream << secret("visible");
    EXPECT_EQ(stream.str(), "***");
    EXPECT_THAT(testing::PrintToString(secret("visible")),
                testing::Not(testing::HasSubstr("visible")));
}

} // namespace
} // namespace cyclamenrun

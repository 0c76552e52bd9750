#include "length_predictor.hpp"

#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

void learn(length_predictor& lengths, const char* team, std::uint32_t tokens,
           int times)
{
    for (int i = 0; i < times; ++i)
        lengths.learn("redactor", team, tokens, true);
}

TEST(survival_curve, buckets_cover_all_lengths_without_a_gap)
{
    for (std::size_t i = 0; i < survival_curve::bucket_count; ++i) {
        const std::uint32_t from = survival_curve::edge(i);
        const std::uint32_t to = survival_curve::edge(i + 1);
        ASSERT_LT(from, to);
        EXPECT_EQ(survival_curve::bucket_of(from), i);
        EXPECT_EQ(survival_curve::bucket_of(to - 1), i);
    }
    EXPECT_EQ(survival_curve::bucket_of(UINT32_MAX),
              survival_curve::bucket_count - 1);
}

TEST(survival_curve, a_cut_off_answer_counts_as_a_lower_bound)
{
    survival_curve cut(1000.0F);
    survival_curve ended(1000.0F);
    for (int i = 0; i < 100; ++i) {
        cut.learn(100, i % 2 == 0);
        ended.learn(100, true);
    }
    cut.refresh_with_constant_prior(1.0F);
    ended.refresh_with_constant_prior(1.0F);
    EXPECT_GT(cut.survival(60), 0.9F);
    EXPECT_NEAR(ended.survival(200), 0.0F, 0.02F);
    EXPECT_GT(cut.survival(130), ended.survival(130) + 0.2F);
}

TEST(length_predictor, a_new_team_starts_from_its_service)
{
    length_predictor lengths(64);
    learn(lengths, "old", 2'000, 100);
    EXPECT_GT(lengths.curve("redactor", "new").survival(1'500), 0.8F);
}

// Guards against a stale curve: when a new model's answers are four times as
// long, admission by the old curve overfills the engine.
TEST(length_predictor, follows_a_shift_of_lengths)
{
    length_predictor lengths(64);
    learn(lengths, "survey", 300, 1'000);
    EXPECT_LT(lengths.curve("redactor", "survey").survival(600), 0.05F);
    learn(lengths, "survey", 1'200, 100);
    EXPECT_GT(lengths.curve("redactor", "survey").survival(600), 0.4F);
    learn(lengths, "survey", 1'200, 300);
    EXPECT_GT(lengths.curve("redactor", "survey").survival(600), 0.85F);
}

TEST(length_predictor, stays_within_its_bound_however_many_teams_come)
{
    length_predictor lengths(10);
    for (int i = 0; i < 1'000; ++i)
        learn(lengths, ("team-" + std::to_string(i)).c_str(), 10, 1);
    EXPECT_LE(lengths.size(), 10U);
}

} // namespace
} // namespace cyclamenrun

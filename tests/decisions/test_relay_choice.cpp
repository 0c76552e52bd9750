#include "relay_choice.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <set>

namespace cyclamenrun
{
namespace
{

std::vector<relay_candidate> candidates(int count, int domains)
{
    std::vector<relay_candidate> all;
    all.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        all.push_back({"10.0.0." + std::to_string(i + 1),
                       "d" + std::to_string(i % domains)});
    return all;
}

std::set<std::string> chosen_by(const std::vector<relay_candidate>& from,
                                int gateways, std::size_t count)
{
    std::set<std::string> hosts;
    for (int i = 0; i < gateways; ++i) {
        const auto chosen =
            choose_relays(from, "gateway-" + std::to_string(i), count);
        hosts.insert(chosen.begin(), chosen.end());
    }
    return hosts;
}

TEST(relay_choice, is_the_same_for_all_gateways)
{
    for (const int gateways : {1, 4, 103, 370})
        EXPECT_EQ(chosen_by(candidates(115, 5), gateways, 2).size(), 2U);
}

TEST(relay_choice, spreads_gateways_over_the_relays)
{
    const auto all = candidates(115, 5);
    std::map<std::string, int> first;
    for (int i = 0; i < 370; ++i)
        ++first[choose_relays(all, "gateway-" + std::to_string(i), 3).front()];
    ASSERT_EQ(first.size(), 3U);
    for (const auto& [host, gateways] : first)
        EXPECT_GT(gateways, 370 / 6) << host;
}

// Guards against losing all relays with one failure domain: the second relay
// has to be in another one, whatever the hash order is.
TEST(relay_choice, uses_different_failure_domains)
{
    for (int shift = 0; shift < 50; ++shift) {
        auto all = candidates(40, 2);
        std::rotate(all.begin(), all.begin() + shift % 40, all.end());
        for (auto& candidate : all)
            candidate.host += std::to_string(shift);
        const auto chosen = choose_relays(all, "g", 2);
        ASSERT_EQ(chosen.size(), 2U);
        std::set<std::string> domains;
        for (const auto& candidate : all) {
            if (std::find(chosen.begin(), chosen.end(), candidate.host) !=
                chosen.end())
                domains.insert(candidate.failure_domain);
        }
        EXPECT_EQ(domains.size(), 2U);
    }
}

TEST(relay_choice, accepts_fewer_candidates_than_requested)
{
    EXPECT_TRUE(choose_relays({}, "g", 2).empty());
    EXPECT_EQ(choose_relays(candidates(1, 1), "g", 2).size(), 1U);
    EXPECT_EQ(choose_relays(candidates(5, 1), "g", 2).size(), 2U);
}

// Guards against needless changes of relays: a new relay has to read the whole
// directory. When VMs are replaced, only the removed relays may change.
TEST(relay_choice, replaces_only_removed_relays)
{
    auto all = candidates(115, 5);
    const auto before = choose_relays(all, "g", 2);
    std::erase_if(all, [&](const auto& candidate) {
        return candidate.host == before.front();
    });
    const auto after = choose_relays(all, "g", 2);
    EXPECT_NE(std::find(after.begin(), after.end(), before.back()),
              after.end());
}

TEST(relay_choice, needs_more_relays_for_very_many_gateways_only)
{
    EXPECT_EQ(relay_count(1), 2U);
    EXPECT_EQ(relay_count(103), 2U);
    EXPECT_EQ(relay_count(370), 3U);
}

} // namespace
} // namespace cyclamenrun

#include "membership.hpp"

#include <gtest/gtest.h>
#include <map>
#include <set>

namespace cyclamenrun
{
namespace
{

vm upstream_vm(const std::string& id, const std::string& domain = "mendoza-a",
               const std::string& service = "redactor")
{
    return {id, "127.0.0.1:1", "cuyo", domain, service, vm_state::live};
}

/** Sets up an entry's membership: six upstreams in three failure domains. */
class membership_test : public testing::Test
{
protected:
    membership_test() : members(settings())
    {
        for (int i = 0; i < 6; ++i)
            list.vms.push_back(upstream_vm("vm-" + std::to_string(i),
                                           "domain-" + std::to_string(i / 2)));
        apply_list();
    }

    static membership_settings settings()
    {
        membership_settings settings;
        settings.entry = "entry-1";
        return settings;
    }

    list_result apply_list()
    {
        ++list.revision;
        return members.on_list(list, now);
    }

    vm& listed(std::size_t index) { return list.vms.at(index); }

    void reply(const std::string& id, std::uint64_t incarnation = 1,
               bool leaving = false)
    {
        members.on_reply(id, {incarnation, leaving}, now);
    }

    std::set<std::string> candidate_ids() const
    {
        std::set<std::string> ids;
        for (const auto& each : members.candidates("redactor"))
            ids.insert(each.upstream);
        return ids;
    }

    upstream_condition state_of(const std::string& id) const
    {
        return members.find(id)->state;
    }

    void make_suspect(const std::string& id)
    {
        members.on_connection_lost(id, now);
        members.on_missed_heartbeat(id, now);
    }

    membership members;
    vm_list list;
    time_point now{};
};

// The list lags by 10 s and still shows an upstream as live whose agent reports
// that it is leaving. The entry must not send it new work.
TEST_F(membership_test, stops_new_work_when_the_agent_reports_leaving)
{
    reply("vm-0");
    EXPECT_EQ(state_of("vm-0"), upstream_condition::live);
    reply("vm-0", 1, true);
    EXPECT_FALSE(candidate_ids().contains("vm-0"));
    reply("vm-0", 1, false); // sent before the drain began
    now += milliseconds(10'000);
    apply_list();
    EXPECT_EQ(state_of("vm-0"), upstream_condition::leaving);
    EXPECT_FALSE(candidate_ids().contains("vm-0"));
    reply("vm-0", 2, false);
    EXPECT_TRUE(candidate_ids().contains("vm-0"))
        << "a new incarnation takes work";
    reply("vm-0", 1, true);
    EXPECT_TRUE(candidate_ids().contains("vm-0"))
        << "a delayed report of the old one";
}

TEST_F(membership_test, stops_new_work_when_the_list_reports_leaving)
{
    reply("vm-0");
    listed(0).state = vm_state::leaving;
    apply_list();
    EXPECT_FALSE(candidate_ids().contains("vm-0"));
    reply("vm-0");
    EXPECT_FALSE(candidate_ids().contains("vm-0"));
    EXPECT_TRUE(members.find("vm-0").has_value()) << "needed for resumes";
}

// A lagging replica of the list service answers after a newer one. An upstream
// that only the older list shows as live must not get new work again.
TEST_F(membership_test, rejects_an_older_list)
{
    const vm_list old = list;
    listed(0).state = vm_state::leaving;
    apply_list();
    EXPECT_EQ(members.on_list(old, now), list_result::kept_for_older);
    EXPECT_EQ(state_of("vm-0"), upstream_condition::leaving);
    now += milliseconds(30'000);
    EXPECT_EQ(members.on_list(old, now), list_result::taken)
        << "a restarted list service";
}

TEST_F(membership_test, keeps_the_last_list_when_an_empty_one_arrives)
{
    EXPECT_EQ(members.on_list({99, {}}, now), list_result::kept_for_empty);
    EXPECT_EQ(candidate_ids().size(), 6U);
}

// A VM has failed, but the list still shows it as live. Signs of one kind may
// come from a network fault or a pause, so only signs of two kinds, or several
// heartbeats missed in a row, make the VM a suspect.
TEST_F(membership_test, suspects_by_more_than_one_sign_and_clears_suspicion)
{
    reply("vm-0");
    members.on_connection_lost("vm-0", now);
    members.on_connection_lost("vm-0", now);
    EXPECT_EQ(state_of("vm-0"), upstream_condition::live);
    members.on_missed_heartbeat("vm-0", now);
    EXPECT_EQ(state_of("vm-0"), upstream_condition::suspect);
    reply("vm-0");
    EXPECT_EQ(state_of("vm-0"), upstream_condition::suspect)
        << "may be buffered";
    reply("vm-0");
    EXPECT_EQ(state_of("vm-0"), upstream_condition::live);

    for (int i = 0; i < 20; ++i)
        members.on_failure("vm-1", now);
    EXPECT_EQ(state_of("vm-1"), upstream_condition::joining);
    now += suspicion::failure_window;
    members.on_connection_lost("vm-1", now);
    EXPECT_EQ(state_of("vm-1"), upstream_condition::joining)
        << "failures expired";
    members.on_failure("vm-1", now);
    EXPECT_EQ(state_of("vm-1"), upstream_condition::suspect);

    // A frozen process keeps its connections open and only misses heartbeats.
    for (std::uint32_t i = 0; i < suspicion::missed_heartbeats_to_suspect; ++i)
        members.on_missed_heartbeat("vm-2", now);
    EXPECT_EQ(state_of("vm-2"), upstream_condition::suspect);
}

// The upstreams of a failure domain that is cut off become suspects together.
// The entry must attribute this to the domain, not to each upstream, until the
// domain recovers.
TEST_F(membership_test, distinguishes_a_cut_off_domain_from_a_lost_upstream)
{
    make_suspect("vm-0");
    EXPECT_FALSE(members.is_cut_off("domain-0"));
    now += domain_cut_detector::suspect_window;
    make_suspect("vm-1");
    EXPECT_FALSE(members.is_cut_off("domain-0"))
        << "not at about the same time";
    make_suspect("vm-2");
    make_suspect("vm-3");
    EXPECT_TRUE(members.is_cut_off("domain-1"));
    EXPECT_FALSE(members.is_cut_off("domain-2"));
    EXPECT_EQ(candidate_ids().size(), 6U) << "suspects are the last resort";
    reply("vm-2");
    reply("vm-2");
    EXPECT_FALSE(members.is_cut_off("domain-1"));
}

TEST_F(membership_test, adds_listed_and_forgets_unlisted_upstreams)
{
    list.vms.erase(list.vms.begin());
    list.vms.push_back(upstream_vm("vm-9"));
    apply_list();
    EXPECT_TRUE(candidate_ids().contains("vm-9"));
    EXPECT_FALSE(candidate_ids().contains("vm-0"));
    EXPECT_EQ(state_of("vm-0"), upstream_condition::gone);
    now += settings().forget_after;
    apply_list();
    EXPECT_FALSE(members.find("vm-0").has_value());
}

TEST_F(membership_test, accepts_a_bounded_number_of_vms)
{
    list.vms.clear();
    for (std::size_t i = 0; i <= membership::max_vms; ++i)
        list.vms.push_back(upstream_vm("x" + std::to_string(i)));
    EXPECT_EQ(apply_list(), list_result::cut_short);
    EXPECT_FALSE(members.find("x" + std::to_string(membership::max_vms)));
    // The default subset_settings::min_size, since no entries are listed.
    EXPECT_EQ(candidate_ids().size(), 24U);
}

/** Returns upstreams in failure domains of unequal size. */
std::vector<vm> fleet(int upstreams)
{
    std::vector<vm> vms;
    for (int i = 0; i < upstreams; ++i) {
        vms.push_back(upstream_vm("vm-" + std::to_string(i),
                                  "domain-" + std::to_string(i % 7 % 5)));
        vms.back().region = "region-" + std::to_string(i % 7 % 5 / 2);
    }
    return vms;
}

TEST(subset, is_bounded_and_covers_each_domain)
{
    const auto vms = fleet(200);
    std::map<std::string, std::string> domain_of;
    for (const auto& each : vms)
        domain_of[each.id] = each.failure_domain;
    for (int entry = 0; entry < 50; ++entry) {
        const auto chosen =
            choose_subset("entry-" + std::to_string(entry), vms, 24);
        EXPECT_EQ(chosen.size(), 24U);
        std::map<std::string, int> counts;
        for (const auto& id : chosen)
            ++counts[domain_of.at(id)];
        EXPECT_EQ(counts.size(), 5U);
        for (const auto& [domain, count] : counts)
            EXPECT_LE(count, 24 * 2 / 5) << domain;
    }
    EXPECT_EQ(choose_subset("e", fleet(3), 24).size(), 3U);
    EXPECT_TRUE(choose_subset("e", {}, 24).empty());
}

TEST(subset, covers_each_upstream_at_about_equally_many_entries)
{
    const auto vms = fleet(200);
    std::map<std::string, int> subset_counts;
    for (int entry = 0; entry < 370; ++entry) {
        for (const auto& id :
             choose_subset("entry-" + std::to_string(entry), vms, 24))
            ++subset_counts[id];
    }
    int min_count = 370;
    int max_count = 0;
    for (const auto& each : vms) {
        min_count = std::min(min_count, subset_counts[each.id]);
        max_count = std::max(max_count, subset_counts[each.id]);
    }
    // Average: 24 places * 370 entries / 200 upstreams = 44.
    EXPECT_GE(min_count, 20);
    EXPECT_LE(max_count, 75);
}

TEST(subset, changes_little_when_one_leaves)
{
    const auto vms = fleet(200);
    const auto before = choose_subset("entry-1", vms, 24);
    const std::set<std::string> kept(before.begin(), before.end());
    for (std::size_t removed = 0; removed < vms.size(); ++removed) {
        auto rest = vms;
        rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(removed));
        int added = 0;
        for (const auto& id : choose_subset("entry-1", rest, 24))
            added += kept.contains(id) ? 0 : 1;
        EXPECT_LE(added, 2);
    }
}

TEST(subset, grows_where_entries_are_few)
{
    const subset_settings settings;
    EXPECT_EQ(subset_size(settings, 10, 3), 10U);
    EXPECT_EQ(subset_size(settings, 41, 370), 24U);
    EXPECT_EQ(subset_size(settings, 100, 5), 60U);
    EXPECT_EQ(subset_size(settings, 1200, 3), settings.max_size);
    EXPECT_EQ(subset_size(settings, 100, 0), 24U);
}

} // namespace
} // namespace cyclamenrun

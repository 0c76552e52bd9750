#include "gateway_routes.hpp"
#include "request_admission.hpp"

#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

gateway_route route(std::string name, std::string prefix)
{
    gateway_route result;
    result.name = std::move(name);
    result.host = "Shop.Example";
    result.path_prefix = std::move(prefix);
    result.services = {{"s", 1}};
    return result;
}

gateway_configuration configuration()
{
    gateway_configuration result;
    result.version = 7;
    result.routes = {route("root", "/"), route("a", "/a/"),
                     route("ab", "/a/b/")};
    result.has_teams = true;
    gateway_team team;
    team.name = "north";
    team.keys = {secret("k1"), secret("k2")};
    result.teams.push_back(team);
    return result;
}

std::string found(const gateway_routes& routes, const std::string& target)
{
    const auto* result = routes.find("shop.example:80", target);
    return result != nullptr ? result->name : "none";
}

TEST(gateway_routes, finds_the_longest_prefix)
{
    const gateway_routes routes(configuration());
    EXPECT_EQ(found(routes, "/a/b/c"), "ab");
    EXPECT_EQ(found(routes, "/a/b"), "a");
    EXPECT_EQ(found(routes, "/a/bc/d"), "a");
    EXPECT_EQ(found(routes, "/ab"), "root");
    EXPECT_EQ(found(routes, "/a/?x=/a/b/"), "a");
    EXPECT_EQ(routes.find("other.example", "/a/"), nullptr);
}

TEST(gateway_routes, a_path_above_all_prefixes_has_no_route)
{
    auto without_root = configuration();
    without_root.routes.erase(without_root.routes.begin());
    const gateway_routes routes(std::move(without_root));
    EXPECT_EQ(found(routes, "/"), "none");
    EXPECT_EQ(found(routes, "/a"), "none");
    EXPECT_EQ(found(routes, ""), "none");
}

/** A request and the state of the gateway's configuration. */
struct admission_case {
    bool known = true; ///< a configuration has been read
    bool lease = true; ///< its lease is valid
    std::string key = "k2";
    std::string target = "/a/x";
};

tl::expected<admitted_request, gateway_refusal>
admit(const admission_case& what, const gateway_routes& routes)
{
    request_facts facts;
    facts.host = "shop.example";
    facts.key = what.key;
    facts.time_left = milliseconds(500);
    return admit_request(what.known ? &routes : nullptr, what.lease, facts,
                         what.target, time_point(milliseconds(1000)));
}

TEST(request_admission, finds_the_team_of_a_key)
{
    const gateway_routes routes(configuration());
    const auto admitted = admit({}, routes);
    ASSERT_TRUE(admitted);
    EXPECT_EQ(admitted->team->name, "north");
    EXPECT_EQ(admitted->route->name, "a");
    EXPECT_EQ(admitted->deadline, time_point(milliseconds(1500)));
}

TEST(request_admission, uses_the_earlier_deadline)
{
    auto changed = configuration();
    changed.routes[1].timeout = milliseconds(200);
    const gateway_routes routes(std::move(changed));
    EXPECT_EQ(admit({}, routes)->deadline, time_point(milliseconds(1200)));
}

// Guards against decisions by a missing or outdated configuration: after a
// start, or a disconnect from the directory for longer than the lease. To
// refuse a route or key as unknown would stop the callers' retries; to accept
// it could admit a revoked key.
TEST(request_admission, refuses_all_requests_without_a_valid_configuration)
{
    const gateway_routes routes(configuration());
    for (const auto& what :
         {admission_case{.known = false}, admission_case{.lease = false},
          admission_case{.known = false, .key = "wrong"},
          admission_case{.lease = false, .target = "x"}}) {
        const auto admitted = admit(what, routes);
        ASSERT_FALSE(admitted);
        EXPECT_EQ(admitted.error(), gateway_refusal::no_configuration);
    }
}

TEST(request_admission, refuses_unknown_keys_but_not_on_public_routes)
{
    auto changed = configuration();
    changed.routes[1].is_public = true;
    const gateway_routes routes(std::move(changed));
    EXPECT_TRUE(admit({.key = "wrong"}, routes));
    const auto refused = admit({.key = "", .target = "/a/b/"}, routes);
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error(), gateway_refusal::unknown_key);
}

TEST(request_admission, picks_services_by_weight)
{
    gateway_route split = route("split", "/");
    split.services = {{"a", 90}, {"b", 10}, {"never", 0}};
    std::mt19937_64 random(7);
    int b = 0;
    for (int i = 0; i < 1000; ++i) {
        const auto drawn = choose_service(split, random);
        ASSERT_NE(drawn, "never");
        b += drawn == "b" ? 1 : 0;
    }
    EXPECT_GT(b, 60);
    EXPECT_LT(b, 140);
}

} // namespace
} // namespace cyclamenrun

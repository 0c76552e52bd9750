#include "digest.hpp"
#include "router.hpp"

#include <gtest/gtest.h>
#include <map>
#include <set>

namespace cyclamenrun
{
namespace
{

using namespace std::chrono_literals;

const time_point start = time_point{} + 1h;

std::vector<candidate> make_candidates(std::size_t count)
{
    std::vector<candidate> all;
    for (std::size_t i = 0; i < count; ++i) {
        candidate one;
        one.upstream = "runner-" + std::to_string(i);
        one.failure_domain = "mendoza-a";
        all.push_back(one);
    }
    return all;
}

load_report report_of(const std::string& upstream, milliseconds uptime)
{
    load_report load;
    load.upstream = upstream;
    load.incarnation = 1;
    load.uptime = uptime;
    load.memory_tokens_total = 10'000;
    return load;
}

route_request request_of(std::uint64_t prefix)
{
    route_request request;
    request.prompt_tokens = 512;
    request.own_failure_domain = "mendoza-a";
    if (prefix != 0)
        request.prefix_blocks = {prefix, prefix + 1, prefix + 2, prefix + 3};
    return request;
}

// Guards against a thundering herd: if only the last load reports counted, all
// requests of a burst between two reports would go to the one upstream with
// the least load.
TEST(router, a_burst_between_two_reports_is_spread)
{
    router routes({}, 1);
    const auto candidates = make_candidates(5);
    for (const auto& one : candidates) {
        load_report load = report_of(one.upstream, 1s);
        load.memory_tokens_used = one.upstream == "runner-2" ? 4'900 : 5'000;
        routes.update_report(load, start);
    }
    std::map<std::size_t, int> sent;
    for (int i = 0; i < 50; ++i) {
        const auto request = request_of(0);
        const auto chosen = routes.choose(request, candidates, start);
        ASSERT_TRUE(chosen);
        ++sent[*chosen];
        routes.record_dispatch(candidates[*chosen].upstream, request, start);
    }
    for (const auto& [index, count] : sent)
        EXPECT_NEAR(count, 10, 1) << index;
}

// Guards against dispatches that are not counted: load reports arrive two
// seconds late, so a dispatch sent meanwhile is in none of them. It has to
// count until a report arrives that was made after it.
TEST(router, a_late_report_does_not_hide_what_was_sent_after_it_was_made)
{
    router routes({}, 1);
    const auto candidates = make_candidates(2);
    for (const auto& one : candidates)
        routes.update_report(report_of(one.upstream, 1s), start);
    const auto request = request_of(0);
    for (int i = 0; i < 5; ++i)
        routes.record_dispatch("runner-0", request, start + 3s);
    routes.update_report(report_of("runner-0", 2s), start + 3s + 1ms);
    EXPECT_EQ(routes.choose(request, candidates, start + 3s).value(), 1U);
    routes.update_report(report_of("runner-0", 5s), start + 4s);
    load_report busy = report_of("runner-1", 5s);
    busy.memory_tokens_used = 100;
    routes.update_report(busy, start + 4s);
    for (int i = 0; i < 5; ++i)
        routes.record_completion("runner-0", start + 4s);
    EXPECT_EQ(routes.choose(request, candidates, start + 4s).value(), 0U);
}

TEST(router, a_prefix_stays_where_it_is_cached_until_that_is_too_full)
{
    router routes({}, 1);
    const auto candidates = make_candidates(8);
    for (const auto& one : candidates)
        routes.update_report(report_of(one.upstream, 1s), start);
    const auto request = request_of(77);
    const std::size_t preferred = *routes.choose(request, candidates, start);
    const std::string& name = candidates[preferred].upstream;
    routes.record_cached(name, request.prefix_blocks);
    load_report load = report_of(name, 2s);
    load.memory_tokens_used = 2'000;
    routes.update_report(load, start + 1s);
    EXPECT_EQ(routes.choose(request, candidates, start + 1s).value(),
              preferred);
    load.uptime = 3s;
    load.memory_tokens_used = 6'000;
    routes.update_report(load, start + 2s);
    EXPECT_NE(routes.choose(request, candidates, start + 2s).value(),
              preferred);
}

TEST(router, entries_agree_on_the_preferred_upstreams_of_a_suspect)
{
    const auto candidates = make_candidates(1'200);
    std::set<std::size_t> chosen;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        router routes({}, seed);
        for (const auto& one : candidates) {
            load_report load = report_of(one.upstream, 1s);
            load.memory_tokens_used = 5'000;
            routes.update_report(load, start);
        }
        route_request request = request_of(99);
        request.suspect = true;
        request.fingerprint = 4711;
        chosen.insert(*routes.choose(request, candidates, start));
    }
    // A suspect request has three preferred upstreams, the same at all entries.
    EXPECT_LE(chosen.size(), 3U);
}

TEST(router, leaving_excluded_and_full_upstreams_are_not_chosen)
{
    router routes({}, 1);
    const auto candidates = make_candidates(3);
    load_report leaving = report_of("runner-0", 1s);
    leaving.leaving = true;
    routes.update_report(leaving, start);
    load_report full = report_of("runner-2", 1s);
    full.queued = 100;
    full.expected_wait = 50s;
    routes.update_report(full, start);
    route_request request = request_of(0);
    EXPECT_EQ(routes.choose(request, candidates, start).value(), 1U);
    request.excluded = {"runner-1"};
    const auto refused = routes.choose(request, candidates, start);
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().reason, refusal_reason::queue_full);
    EXPECT_EQ(refused.error().retry_after, 30s);
    request.excluded.emplace_back("runner-2");
    EXPECT_EQ(routes.choose(request, candidates, start).error().reason,
              refusal_reason::no_upstream);
}

TEST(router, remembers_a_bounded_number_of_upstreams)
{
    router_settings settings;
    settings.max_upstreams = 10;
    router routes(settings, 1);
    for (const auto& one : make_candidates(100))
        routes.update_report(report_of(one.upstream, 1s), start);
    EXPECT_EQ(routes.size(), 10U);
}

} // namespace
} // namespace cyclamenrun

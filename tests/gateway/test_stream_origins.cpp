#include "peers.pb.h"
#include "service_versions.hpp"
#include "stream_origins.hpp"

#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <random>

namespace cyclamenrun::testing_support
{
namespace
{

time_point at(int ms)
{
    return time_point(milliseconds(1'000'000 + ms));
}

/** Gateways that tell each other where streams began, on virtual time. */
class origin_fleet
{
public:
    explicit origin_fleet(std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i)
            add();
    }

    void add()
    {
        const auto host = "10.0." + std::to_string(nodes.size() / 250) + "." +
                          std::to_string(nodes.size() % 250);
        hosts.push_back(host);
        nodes[host];
        restart(host);
    }

    /** The gateway starts again and knows no stream. */
    void restart(const std::string& host)
    {
        nodes[host] = std::make_unique<stream_origins>();
        stream_origins::hooks on;
        on.own_host = [host] { return host; };
        on.hosts = [this, host] {
            auto others = hosts;
            std::erase(others, host);
            return others;
        };
        on.send = [this, host](const std::string& to,
                               const v1::PeerMessage& message) {
            ++sent;
            sent_bytes += message.ByteSizeLong();
            deliver(host, to, message);
        };
        on.post_after = [this](milliseconds time, std::function<void()> call) {
            timers.emplace(now + time, std::move(call));
        };
        nodes[host]->set_hooks(std::move(on));
    }

    void deliver(const std::string& from, const std::string& to,
                 const v1::PeerMessage& message)
    {
        if (down.contains(from) || down.contains(to) ||
            std::uniform_real_distribution<double>(0, 1)(random) < loss)
            return;
        timers.emplace(now + milliseconds(2), [this, from, to, message] {
            const auto answer = nodes[to]->handle(from, message, now);
            if (answer)
                deliver(to, from, *answer);
        });
    }

    /** A random gateway that is not down. */
    std::string running_host()
    {
        auto host = hosts[random() % hosts.size()];
        while (down.contains(host))
            host = hosts[random() % hosts.size()];
        return host;
    }

    void run_for(milliseconds time)
    {
        const auto end = now + time;
        while (!timers.empty() && timers.begin()->first <= end) {
            const auto due = timers.begin();
            now = std::max(now, due->first);
            const auto call = due->second;
            timers.erase(due);
            call();
        }
        now = end;
    }

    /** What a gateway finds out in time. */
    std::optional<stream_origin> find(const std::string& host,
                                      const std::string& id)
    {
        std::optional<std::optional<stream_origin>> found;
        nodes[host]->find(id, now,
                          [&](const std::optional<stream_origin>& origin) {
                              found = origin;
                          });
        run_for(milliseconds(150));
        EXPECT_TRUE(found) << "no answer in time";
        return found.value_or(std::nullopt);
    }

    std::map<std::string, std::unique_ptr<stream_origins>> nodes;
    std::vector<std::string> hosts;
    std::set<std::string> down;
    std::multimap<time_point, std::function<void()>> timers;
    std::mt19937_64 random{1};
    double loss = 0;
    std::size_t sent = 0;
    std::size_t sent_bytes = 0;
    time_point now = at(0);
};

const stream_origin old_version{"model", "v1"};
const stream_origin new_version{"model", "v2"};

TEST(stream_origins, are_found_at_any_gateway)
{
    origin_fleet fleet(25);
    fleet.nodes["10.0.0.0"]->record("a", old_version, fleet.now);
    fleet.run_for(milliseconds(10));
    for (const auto& host : fleet.hosts)
        EXPECT_EQ(fleet.find(host, "a"), old_version);
    EXPECT_EQ(fleet.find("10.0.0.7", "b"), std::nullopt);
}

// Guards against knowledge that is lost with a gateway: of 370, one in ten is
// down, the one that began each stream among them, and datagrams are lost.
TEST(stream_origins, survive_gateways_that_go)
{
    origin_fleet fleet(370);
    fleet.loss = 0.02;
    for (int i = 0; i < 200; ++i) {
        const auto host = fleet.running_host();
        fleet.nodes[host]->record("s" + std::to_string(i), old_version,
                                  fleet.now);
        fleet.run_for(milliseconds(5));
        fleet.down.insert(host);
        if (fleet.down.size() > 37)
            fleet.down.erase(fleet.down.begin());
    }
    while (fleet.down.size() < 37)
        fleet.down.insert(fleet.hosts[fleet.random() % fleet.hosts.size()]);
    int found = 0;
    for (int i = 0; i < 200; ++i) {
        if (fleet.find(fleet.running_host(), "s" + std::to_string(i)) ==
            old_version)
            ++found;
    }
    EXPECT_GE(found, 190);
}

// Guards against gateways that ask others than those that were told, since the
// fleet has grown.
TEST(stream_origins, are_found_after_gateways_have_joined)
{
    origin_fleet fleet(50);
    for (int i = 0; i < 100; ++i)
        fleet.nodes["10.0.0.0"]->record(std::to_string(i), old_version,
                                        fleet.now);
    fleet.run_for(milliseconds(10));
    for (int i = 0; i < 10; ++i)
        fleet.add();
    fleet.down.insert("10.0.0.0");
    for (int i = 0; i < 100; ++i)
        EXPECT_EQ(fleet.find("10.0.0.55", std::to_string(i)), old_version);
}

// Guards against control traffic beyond 18 KB/s at a gateway: 3,700 streams a
// second begin at 370 gateways.
TEST(stream_origins, cost_little_at_370_gateways)
{
    origin_fleet fleet(370);
    constexpr int streams = 3700;
    for (int i = 0; i < streams; ++i)
        fleet.nodes[fleet.hosts[fleet.random() % fleet.hosts.size()]]->record(
            "0123456789ab" + std::to_string(1000 + i), old_version, fleet.now);
    // Headers of IP and UDP, and the incarnation.
    const auto bytes = fleet.sent_bytes + fleet.sent * (28 + 9);
    EXPECT_LE(bytes / fleet.hosts.size(), 3000U);
}

// Guards against a guess for an id that streams of two versions have used.
TEST(stream_origins, are_unknown_for_an_id_that_was_used_twice)
{
    origin_fleet fleet(10);
    fleet.nodes["10.0.0.0"]->record("a", old_version, fleet.now);
    fleet.nodes["10.0.0.1"]->record("a", new_version, fleet.now);
    fleet.run_for(milliseconds(10));
    for (const auto* host : {"10.0.0.2", "10.0.0.5", "10.0.0.9"})
        EXPECT_EQ(fleet.find(host, "a"), std::nullopt);
}

// Guards against tables that grow without bound.
TEST(stream_origins, are_forgotten)
{
    stream_origins origins;
    for (int i = 0; i < 100; ++i)
        origins.record(std::to_string(i), old_version, at(0));
    std::optional<stream_origin> found;
    const auto find = [&](int ms) {
        origins.find("1", at(ms), [&](const auto& origin) { found = origin; });
        return found;
    };
    EXPECT_EQ(find(119'000), old_version);
    EXPECT_EQ(find(121'000), std::nullopt);
    origins.record("next", old_version, at(121'000));
    EXPECT_EQ(origins.size(), 1U);
}

// Guards against a caller that waits although nobody is left to answer.
TEST(stream_origins, are_unknown_after_a_while_without_answers)
{
    origin_fleet fleet(5);
    for (const auto& host : fleet.hosts)
        fleet.down.insert(host);
    EXPECT_EQ(fleet.find("10.0.0.3", "a"), std::nullopt);
}

// Guards against a version that has served until recently, and against one that
// this process was too young to see.
TEST(service_versions, know_the_only_version_of_the_last_while)
{
    service_versions versions;
    versions.record("s", "v1", at(0));
    EXPECT_EQ(versions.only_version("s", milliseconds(6000), at(5000)),
              std::nullopt);
    versions.record("s", "v1", at(7000));
    EXPECT_EQ(versions.only_version("s", milliseconds(6000), at(7000)), "v1");
    versions.record("s", "v2", at(8000));
    EXPECT_EQ(versions.only_version("s", milliseconds(6000), at(8000)),
              std::nullopt);
    EXPECT_EQ(versions.only_version("s", milliseconds(6000), at(13'500)), "v2");
    EXPECT_EQ(versions.only_version("t", milliseconds(0), at(8000)),
              std::nullopt);
}

TEST(service_versions, know_a_service_without_versions)
{
    service_versions versions;
    EXPECT_FALSE(versions.names_none("s", at(0)));
    versions.record("s", "", at(0));
    EXPECT_TRUE(versions.names_none("s", at(0)));
    versions.record("s", "v1", at(1));
    EXPECT_FALSE(versions.names_none("s", at(2)));
}

// Guards against a table that grows without bound, and against a claim about a
// service of which not all is kept.
TEST(service_versions, say_nothing_of_a_service_with_too_many)
{
    service_versions versions;
    for (int i = 0; i < 300; ++i)
        versions.record("s", "v" + std::to_string(i), at(i));
    EXPECT_EQ(versions.only_version("s", milliseconds(0), at(300)),
              std::nullopt);
}

} // namespace
} // namespace cyclamenrun::testing_support

#include "peer_network.hpp"

#include "peers.pb.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace cyclamenrun::testing_support
{
namespace
{

/** A table of numbers that only grows. */
class number_table
{
public:
    void add(std::uint64_t number)
    {
        if (!numbers.contains(number))
            numbers[number] = ++version_;
    }

    std::vector<peer_table> tables()
    {
        return {{[this] { return version_; },
                 [this](std::uint64_t after, v1::PeerMessage& message,
                        time_point) { return write(after, message); },
                 [this](const v1::PeerMessage& message, time_point) {
                     for (const auto& mark : message.marks())
                         add(mark.fingerprint());
                 }}};
    }

    std::map<std::uint64_t, std::uint64_t> numbers; ///< with their versions

private:
    std::uint64_t write(std::uint64_t after, v1::PeerMessage& message) const
    {
        constexpr int max_numbers = 8;
        std::map<std::uint64_t, std::uint64_t> by_version;
        for (const auto& [number, version] : numbers)
            if (version > after)
                by_version[version] = number;
        for (const auto& [version, number] : by_version) {
            if (message.marks_size() == max_numbers)
                return after;
            message.add_marks()->set_fingerprint(number);
            after = version;
        }
        return after;
    }

    std::uint64_t version_ = 0;
};

class peer_fleet : public peer_network<number_table>
{
public:
    using peer_network::add;
    using peer_network::peer_network;

    void add(std::size_t gateway, std::uint64_t number)
    {
        nodes[gateway].tables->add(number);
    }
    std::size_t count_with(std::uint64_t number) const
    {
        return static_cast<std::size_t>(
            std::count_if(nodes.begin(), nodes.end(), [&](const node& each) {
                return each.up && each.tables->numbers.contains(number);
            }));
    }
};

/** Time in which what one gateway learns must reach the others. */
constexpr milliseconds learning_bound{3000};

TEST(peer_exchange, gateways_find_each_other_by_their_seeds)
{
    peer_fleet fleet(5, 1);
    fleet.run_for(milliseconds(3000));
    for (const auto& node : fleet.nodes)
        EXPECT_EQ(node.exchange->gateway_count(), 5U);
}

TEST(peer_exchange, a_change_reaches_all_gateways_within_milliseconds)
{
    peer_fleet fleet(5, 1);
    fleet.run_for(milliseconds(3000));
    fleet.add(2, 7);
    fleet.run_for(milliseconds(30));
    EXPECT_EQ(fleet.count_with(7), 5U);
}

// Guards against a large fleet in which a change or the number of gateways
// stays unknown, since each gateway sends to three others only.
TEST(peer_exchange, a_change_reaches_370_gateways)
{
    peer_fleet fleet(370, 1);
    // Callers come ten seconds after the start; a share of a limit allows for
    // a count that is a tenth too low.
    fleet.run_for(milliseconds(10000));
    for (const auto& node : fleet.nodes)
        EXPECT_GE(node.exchange->gateway_count(), 333U);
    fleet.add(100, 7);
    fleet.run_for(milliseconds(300));
    EXPECT_EQ(fleet.count_with(7), 370U);
    fleet.run_for(milliseconds(20000));
    for (const auto& node : fleet.nodes)
        EXPECT_EQ(node.exchange->gateway_count(), 370U);
}

// Guards against a gateway that starts without what the others have learnt.
TEST(peer_exchange, a_gateway_that_restarts_gets_the_whole_table)
{
    peer_fleet fleet(5, 1);
    fleet.run_for(milliseconds(3000));
    for (std::uint64_t number = 1; number <= 100; ++number)
        fleet.add(number % 5, number);
    fleet.run_for(milliseconds(1000));
    fleet.start(3);
    fleet.run_for(milliseconds(200));
    EXPECT_EQ(fleet.nodes[3].tables->numbers.size(), 100U);
}

// Guards against a gateway that stays alone because all of its seeds are down.
TEST(peer_exchange, a_gateway_that_joins_needs_only_one_live_seed)
{
    peer_fleet fleet(6, 1);
    fleet.run_for(milliseconds(3000));
    fleet.add(4, 7);
    fleet.stop(0);
    fleet.stop(1);
    fleet.run_for(milliseconds(20000));
    const auto joined = fleet.add();
    fleet.run_for(milliseconds(3000));
    EXPECT_EQ(fleet.nodes[joined].exchange->gateway_count(), 5U);
    EXPECT_TRUE(fleet.nodes[joined].tables->numbers.contains(7));
}

// Guards against two parts of a fleet that never meet again after a partition
// that lasted so long that each part has forgotten the other.
TEST(peer_exchange, parts_that_were_cut_off_join_again)
{
    peer_fleet fleet(8, 1);
    fleet.run_for(milliseconds(3000));
    fleet.connected = [](std::size_t from, std::size_t to) {
        return from % 2 == to % 2;
    };
    fleet.run_for(milliseconds(40000));
    EXPECT_EQ(fleet.nodes[0].exchange->gateway_count(), 4U);
    fleet.add(1, 7);
    fleet.connected = [](std::size_t, std::size_t) { return true; };
    fleet.run_for(milliseconds(10000));
    EXPECT_EQ(fleet.count_with(7), 8U);
    for (const auto& node : fleet.nodes)
        EXPECT_EQ(node.exchange->gateway_count(), 8U);
}

// Guards against gateways that have ended and count for ever.
TEST(peer_exchange, a_gateway_that_ended_is_forgotten)
{
    peer_fleet fleet(5, 1);
    fleet.run_for(milliseconds(3000));
    fleet.stop(4);
    fleet.run_for(milliseconds(20000));
    EXPECT_EQ(fleet.nodes[0].exchange->gateway_count(), 4U);
}

// Guards against a gateway that stands still: a name that is no address is
// looked up in the domain name system, and its only thread waits for that.
TEST(peer_exchange, learns_only_gateways_with_addresses)
{
    peer_fleet fleet(2, 1);
    fleet.run_for(milliseconds(2000));
    auto& receiver = *fleet.nodes[0].exchange;
    v1::PeerMessage message;
    message.set_incarnation(7);
    for (const auto* host : {"10.9.9.8", "10.9.9.x", "gateway.example", "",
                             "2001:db8::1", "10.9.9.8:80", "[2001:db8::1]"})
        message.add_peers()->set_host(host);
    (void)receiver.receive("10.9.9.9", message.SerializeAsString(), fleet.now);
    EXPECT_THAT(receiver.known_hosts(),
                testing::UnorderedElementsAre(fleet.nodes[1].host, "10.9.9.9",
                                              "10.9.9.8", "2001:db8::1"));
}

// Guards against traffic without end: acknowledgements that answer each other.
TEST(peer_exchange, an_idle_fleet_sends_only_its_probes)
{
    peer_fleet fleet(5, 1);
    fleet.run_for(milliseconds(12000));
    fleet.add(0, 7);
    fleet.run_for(milliseconds(3000));
    for (auto& node : fleet.nodes)
        node.sent = 0;
    fleet.run_for(milliseconds(10000));
    // Three probes a second, and as many answers.
    for (const auto& node : fleet.nodes)
        EXPECT_LE(node.sent, 70U);
}

// Guards against datagrams that bring down a gateway or make it grow.
RC_GTEST_PROP(peer_exchange, survives_any_datagram, ())
{
    peer_fleet fleet(2, 1);
    fleet.run_for(milliseconds(2000));
    const auto& victim = fleet.nodes[0];
    v1::PeerMessage message;
    message.set_incarnation(*rc::gen::arbitrary<std::uint64_t>());
    message.set_reply_wanted(true);
    for (int i = 0; i < 3; ++i) {
        auto& position = *message.add_tables();
        position.set_after(*rc::gen::arbitrary<std::uint64_t>());
        position.set_up_to(*rc::gen::arbitrary<std::uint64_t>());
        position.set_acknowledged(*rc::gen::arbitrary<std::uint64_t>());
    }
    for (int i = 0; i < 2000; ++i)
        message.add_peers()->set_host(std::to_string(i));
    (void)victim.exchange->receive("10.9.9.9", message.SerializeAsString(),
                                   fleet.now);
    RC_ASSERT(victim.exchange->gateway_count() <= max_peers + 1);
    (void)victim.exchange->receive(
        "10.9.9.9", *rc::gen::arbitrary<std::string>(), fleet.now);
}

// Guards against changes that stay unknown to some gateways, whatever is lost,
// restarted, frozen or cut off in between.
RC_GTEST_PROP(peer_exchange, all_learn_all_changes_within_the_bound, ())
{
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto size = *rc::gen::inRange<std::size_t>(2, 12);
    peer_fleet fleet(size, seed);
    fleet.loss = 0.1;
    std::uint64_t number = 0;
    for (int step = 0; step < 20; ++step) {
        const auto chosen = fleet.random() % size;
        switch (fleet.random() % 5) {
        case 0:
            fleet.start(chosen);
            break;
        case 1:
            fleet.nodes[chosen].frozen = true;
            break;
        case 2:
            fleet.connected = [chosen](std::size_t from, std::size_t to) {
                return from == to || (from != chosen && to != chosen);
            };
            break;
        default:
            if (fleet.runs(chosen))
                fleet.add(chosen, ++number);
        }
        fleet.run_for(milliseconds(static_cast<int>(fleet.random() % 700)));
    }
    for (auto& node : fleet.nodes)
        node.frozen = false;
    fleet.connected = [](std::size_t, std::size_t) { return true; };
    fleet.run_for(milliseconds(1000));
    fleet.add(fleet.random() % size, ++number);
    std::set<std::uint64_t> known;
    for (const auto& node : fleet.nodes)
        for (const auto& [each, version] : node.tables->numbers)
            known.insert(each);
    fleet.run_for(learning_bound);
    for (const auto each : known)
        RC_ASSERT(fleet.count_with(each) == size);
}

} // namespace
} // namespace cyclamenrun::testing_support

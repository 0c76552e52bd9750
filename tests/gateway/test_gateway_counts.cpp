#include "gateway_count_history.hpp"
#include "peer_network.hpp"
#include "peers.pb.h"

#include <gtest/gtest.h>

namespace cyclamenrun::testing_support
{
namespace
{

struct no_tables {
    static std::vector<peer_table> tables() { return {}; }
};

/** Gateways that count each other, and tell what they remember. */
class counting_fleet : public peer_network<no_tables>
{
public:
    explicit counting_fleet(std::size_t size)
        : peer_network(size, 1), histories_(size)
    {
        for (std::size_t i = 0; i < size; ++i)
            watch(i);
    }

    void restart(std::size_t i)
    {
        start(i);
        histories_[i] = {};
        watch(i);
    }
    void count_for(milliseconds time)
    {
        for (const auto end = now + time; now < end;) {
            run_for(milliseconds(100));
            for (std::size_t i = 0; i < nodes.size(); ++i)
                histories_[i].record(
                    static_cast<unsigned>(nodes[i].exchange->gateway_count()),
                    boot());
        }
    }
    unsigned largest(std::size_t i) const
    {
        return histories_[i].largest(boot());
    }

private:
    boot_time boot() const { return boot_time(now.time_since_epoch()); }
    void watch(std::size_t i)
    {
        gateway_count_hooks on;
        on.counts = [this, i] { return histories_[i].counts(boot()); };
        on.learn = [this, i](const past_gateway_count& told) {
            histories_[i].learn(told, boot());
        };
        nodes[i].exchange->set_count_hooks(on);
    }

    std::vector<gateway_count_history> histories_;
};

// Guards against a part of the retry budget that is too large, since a gateway
// that restarts in a part of the fleet that is cut off takes it for the whole.
TEST(gateway_counts, reach_gateways_that_restart_in_a_part_that_is_cut_off)
{
    counting_fleet fleet(30);
    fleet.count_for(milliseconds(5000));
    fleet.connected = [](std::size_t from, std::size_t to) {
        return from % 2 == to % 2;
    };
    fleet.count_for(milliseconds(40000));
    ASSERT_EQ(fleet.nodes[0].exchange->gateway_count(), 15U);
    for (std::size_t i = 2; i < fleet.nodes.size(); ++i)
        fleet.restart(i);
    fleet.count_for(milliseconds(3000));
    for (std::size_t i = 0; i < fleet.nodes.size(); ++i)
        EXPECT_EQ(fleet.largest(i), 30U) << i;
}

// Guards against a fleet that remembers for ever how large it was.
TEST(gateway_counts, of_gateways_that_left_are_forgotten)
{
    counting_fleet fleet(10);
    fleet.count_for(milliseconds(5000));
    for (std::size_t i = 5; i < 10; ++i)
        fleet.stop(i);
    fleet.count_for(std::chrono::minutes(11));
    for (std::size_t i = 0; i < 5; ++i)
        EXPECT_EQ(fleet.largest(i), 5U) << i;
}

} // namespace
} // namespace cyclamenrun::testing_support

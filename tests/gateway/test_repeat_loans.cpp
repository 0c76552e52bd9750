#include "peers.pb.h"
#include "repeat_loans.hpp"

#include <deque>
#include <gtest/gtest.h>
#include <memory>
#include <optional>

namespace cyclamenrun::testing_support
{
namespace
{

boot_time at(int ms)
{
    return boot_time(milliseconds(ms));
}

/** Gateways that lend to each other over datagrams, on virtual time. */
class lending_fleet
{
public:
    explicit lending_fleet(std::size_t size, double extra = 90)
    {
        retry_budget_settings settings;
        settings.extra = extra;
        for (std::size_t i = 0; i < size; ++i) {
            auto& added = gateways.emplace_back(
                std::make_unique<gateway>(settings, random));
            added->budget.set_gateway_count(static_cast<unsigned>(size), at(0));
        }
    }

    /** Tries to send an urgent repeat, and asks for a loan if it may not. */
    bool try_repeat(std::size_t i, int ms)
    {
        auto& budget = gateways[i]->budget;
        if (budget.try_reserve("s", repeat_urgency::urgent, at(ms)))
            return budget.spend("s", at(ms));
        const auto wanted = gateways[i]->loans.request(at(ms));
        for (int asked = 0; asked < 3 && wanted; ++asked) {
            const auto other = random() % gateways.size();
            if (other == i)
                continue;
            const auto grants =
                gateways[other]->loans.handle(name(i), *wanted, at(ms));
            if (grants)
                (void)gateways[i]->loans.handle(name(other), *grants,
                                                at(ms + 2));
        }
        return false;
    }

    /** Tries to send a repeat of a request that could be refused. */
    void try_retry(std::size_t i, int ms)
    {
        auto& budget = gateways[i]->budget;
        if (budget.try_reserve("s", repeat_urgency::deferrable, at(ms)))
            (void)budget.spend("s", at(ms));
    }

    static std::string name(std::size_t i) { return "g" + std::to_string(i); }

    struct gateway {
        gateway(const retry_budget_settings& settings, std::mt19937_64& random)
            : budget(settings, at(0)), loans(budget, random)
        {
        }
        shared_retry_budget budget;
        repeat_loans loans;
    };

    std::mt19937_64 random{1};
    std::vector<std::unique_ptr<gateway>> gateways;
};

constexpr int bursts = 30;
constexpr int generations = 30; // of the engines that leave in a burst

/**
 * A sixth of the engines leaves every 3.3 s with 1.6 s of notice, before 60
 * requests a second, of which some are retried each 0.1 s. Returns how many
 * generations went on elsewhere.
 */
int count_saved(lending_fleet& fleet, int retries)
{
    const auto random_gateway = [&] {
        return fleet.random() % fleet.gateways.size();
    };
    int saved = 0;
    for (int burst = 0; burst < bursts; ++burst) {
        std::deque<std::size_t> waiting;
        for (int i = 0; i < generations; ++i)
            waiting.push_back(random_gateway());
        for (int step = 0; step < 33; ++step) {
            const int ms = 20'000 + burst * 3'300 + step * 100;
            for (int i = 0; i < 6; ++i)
                fleet.gateways[random_gateway()]->budget.record_request("s",
                                                                        at(ms));
            for (int i = 0; i < retries; ++i)
                fleet.try_retry(random_gateway(), ms);
            for (std::size_t i = waiting.size(); step < 16 && i > 0; --i) {
                const auto gateway = waiting.front();
                waiting.pop_front();
                if (fleet.try_repeat(gateway, ms))
                    ++saved;
                else
                    waiting.push_back(gateway);
            }
        }
    }
    return saved;
}

// Guards against generations that are lost at some gateways while others have
// repeats left.
TEST(repeat_loans, save_generations_of_engines_that_leave)
{
    lending_fleet fleet(25);
    EXPECT_GE(count_saved(fleet, 0), bursts * generations * 95 / 100);
}

// Guards against generations that are lost because retries of requests that can
// return have used the budget: engines reject two in five requests meanwhile.
TEST(repeat_loans, save_generations_before_retries)
{
    lending_fleet fleet(25);
    EXPECT_GE(count_saved(fleet, 2), bursts * generations * 95 / 100);
}

class a_loan : public testing::Test
{
protected:
    a_loan()
    {
        EXPECT_FALSE(fleet.gateways[0]->budget.try_reserve(
            "s", repeat_urgency::urgent, at(0)));
        wanted = fleet.gateways[0]->loans.request(at(0));
    }

    /** A grant of what was asked for. */
    v1::RepeatLoan grant() const
    {
        auto result = wanted.value().loans(0);
        result.set_granted(true);
        return result;
    }

    double left() { return fleet.gateways[0]->budget.remaining("s", at(20)); }
    void receive(const v1::RepeatLoan& loan, const std::string& from)
    {
        v1::PeerMessage message;
        *message.add_loans() = loan;
        EXPECT_FALSE(fleet.gateways[0]->loans.handle(from, message, at(10)));
    }

    lending_fleet fleet{2, 0};
    std::optional<v1::PeerMessage> wanted;
};

// Guards against a repeated datagram that lends twice.
TEST_F(a_loan, counts_once_for_each_lender)
{
    receive(grant(), "g1");
    EXPECT_DOUBLE_EQ(left(), 0.5);
    receive(grant(), "g1");
    EXPECT_DOUBLE_EQ(left(), 0.5);
    receive(grant(), "g2");
    EXPECT_DOUBLE_EQ(left(), 1);
}

// Guards against grants that nobody asked for, or that are larger.
TEST_F(a_loan, is_at_most_what_was_asked_for)
{
    auto larger = grant();
    larger.set_amount(1000);
    receive(larger, "g1");
    EXPECT_DOUBLE_EQ(left(), 0.5);
    auto unasked = grant();
    unasked.set_number(unasked.number() + 1);
    receive(unasked, "g2");
    EXPECT_DOUBLE_EQ(left(), 0.5);
    auto of_another = grant();
    of_another.set_service("t");
    receive(of_another, "g3");
    EXPECT_DOUBLE_EQ(left(), 0.5);
}

// Guards against two gateways that are short and lend to each other.
TEST_F(a_loan, is_refused_by_a_gateway_that_is_short)
{
    fleet.gateways[1]->budget.borrow("s", 0.9, at(0), at(0));
    EXPECT_FALSE(fleet.gateways[1]->budget.try_reserve(
        "s", repeat_urgency::urgent, at(0)));
    ASSERT_TRUE(wanted);
    EXPECT_FALSE(fleet.gateways[1]->loans.handle("g0", *wanted, at(1)));
}

} // namespace
} // namespace cyclamenrun::testing_support

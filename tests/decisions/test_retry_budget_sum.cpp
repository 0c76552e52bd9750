#include "budget_fleet.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenrun::testing_support
{
namespace
{

constexpr double share = 0.2;
constexpr double extra = 90;

/** Each gateway sends as many repeats as it may. */
void repeat_everywhere(budget_fleet& fleet, unsigned most, bool urgent)
{
    for (std::size_t i = 0; i < fleet.size(); ++i)
        fleet.repeat(i, most, urgent);
}

/** Runs a fleet with full buckets for this time. */
void run(budget_fleet& fleet, int steps)
{
    for (int i = 0; i < steps; ++i)
        fleet.advance(1);
}

// Guards against continuations beyond the budget: many engines leave or crash
// at once, and each of their generations is sent once more.
TEST(retry_budget_sum, holds_when_many_engines_leave_at_once)
{
    budget_fleet fleet(25, share, extra, 1);
    run(fleet, 300);
    for (int burst = 0; burst < 6; ++burst) {
        // Notice is given 1.5 s before.
        for (int i = 0; i < 15; ++i) {
            repeat_everywhere(fleet, 20, true);
            fleet.advance(1);
        }
        run(fleet, 18);
    }
    EXPECT_LE(fleet.worst_excess(), 0);
    EXPECT_GE(fleet.repeats(), 200U);
}

// Guards against a second budget for a process that knows nothing of what its
// predecessor has spent.
TEST(retry_budget_sum, holds_when_all_gateways_restart)
{
    budget_fleet fleet(25, share, extra, 1);
    run(fleet, 300);
    repeat_everywhere(fleet, 20, false);
    for (std::size_t i = 0; i < fleet.size(); ++i)
        fleet.restart(i);
    for (int i = 0; i < 100; ++i) {
        fleet.advance(1);
        repeat_everywhere(fleet, 20, false);
    }
    EXPECT_LE(fleet.worst_excess(), 0);
}

// Guards against parts that add up to more than the whole: gateways that are
// cut off from each other forget each other, and each half counts itself only.
TEST(retry_budget_sum, holds_when_halves_forget_each_other)
{
    budget_fleet fleet(30, share, extra, 1);
    run(fleet, 300);
    fleet.cut();
    run(fleet, 400);
    for (int i = 0; i < 200; ++i) {
        repeat_everywhere(fleet, 20, false);
        fleet.advance(1);
    }
    EXPECT_LE(fleet.worst_excess(), 0);
}

/**
 * Cuts a fleet into halves until they have forgotten each other, restarts its
 * gateways but `spared`, and lets them fill their buckets and spend them.
 */
double excess_after_restarts_in_halves(std::size_t spared)
{
    budget_fleet fleet(30, share, extra, 1);
    run(fleet, 300);
    fleet.cut();
    run(fleet, 200);
    for (auto i = spared; i < fleet.size(); ++i)
        fleet.restart(i);
    run(fleet, 150);
    for (int i = 0; i < 120; ++i) {
        repeat_everywhere(fleet, 20, false);
        fleet.advance(1);
    }
    return fleet.worst_excess();
}

// Guards against a part that a restarted gateway takes for the whole: gateways
// that have gone on know better.
TEST(retry_budget_sum, holds_when_most_gateways_restart_in_halves)
{
    EXPECT_LE(excess_after_restarts_in_halves(2), 0);
}

// Guards against the same when no gateway is left that knows better.
TEST(retry_budget_sum, holds_when_all_gateways_restart_in_halves)
{
    EXPECT_LE(excess_after_restarts_in_halves(0), 0);
}

// Guards against gateways that join a part that is cut off: the other part does
// not know of them.
TEST(retry_budget_sum, holds_when_cut_off_parts_grow)
{
    budget_fleet fleet(8, share, extra, 1);
    run(fleet, 300);
    fleet.cut();
    run(fleet, 200);
    for (int i = 0; i < 5; ++i)
        fleet.join();
    run(fleet, 150);
    for (int i = 0; i < 120; ++i) {
        repeat_everywhere(fleet, 20, false);
        fleet.advance(1);
    }
    EXPECT_LE(fleet.worst_excess(), 0);
}

// Guards against retries at the end of a window, of which a counter forgets
// those at its beginning too early.
TEST(retry_budget_sum, holds_between_the_slots_of_a_window)
{
    budget_fleet fleet(10, share, extra, 1);
    run(fleet, 300);
    for (int i = 0; i < 50; ++i) {
        repeat_everywhere(fleet, 20, false);
        run(fleet, 91);
    }
    EXPECT_LE(fleet.worst_excess(), 0);
}

// Guards against loans that create repeats: a lender earns again what it has
// lent while the borrower still holds it.
TEST(retry_budget_sum, holds_while_gateways_lend_to_each_other)
{
    budget_fleet fleet(25, share, extra, 1);
    run(fleet, 300);
    for (int i = 0; i < 300; ++i) {
        fleet.borrow(0);
        fleet.borrow(1);
        if (i % 50 < 25) {
            fleet.repeat(0, 20, true);
            fleet.repeat(1, 20, true);
        }
        fleet.advance(1);
    }
    EXPECT_LE(fleet.worst_excess(), 0);
    EXPECT_GE(fleet.repeats(), 100U);
}

/** Gateways fill their buckets, then send all that they may for a while. */
void save_and_spend(budget_fleet& fleet)
{
    run(fleet, 120);
    for (int i = 0; i < 60; ++i) {
        repeat_everywhere(fleet, 20, fleet.pick(2) == 0);
        fleet.advance(1);
    }
}

/** Something happens to some gateway, or to all of them. */
void disturb(budget_fleet& fleet)
{
    const auto one = fleet.pick(fleet.size());
    switch (fleet.pick(8)) {
    case 0:
        if (fleet.size() < 60)
            fleet.join();
        return;
    case 1:
        if (fleet.size() > 5)
            fleet.leave(one);
        return;
    case 2:
        for (std::size_t i = 0; i < fleet.size(); ++i)
            if (fleet.pick(3) != 0)
                fleet.restart(i);
        return;
    case 3:
        fleet.cut();
        return;
    case 4:
        fleet.heal();
        return;
    case 5:
        fleet.restart(one);
        return;
    default:
        fleet.pause(one, milliseconds(fleet.pick(200) * 100));
        return;
    }
}

RC_GTEST_PROP(retry_budget_sum, holds_in_every_window_whatever_happens, ())
{
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    budget_fleet fleet(5 + seed % 30, share, extra, seed);
    for (int i = 0; i < 900; ++i) {
        // The load changes every ten seconds, and is zero at times.
        fleet.advance(static_cast<unsigned>(fleet.pick(4) * (i / 100 % 3)));
        if (fleet.pick(20) == 0)
            disturb(fleet);
        if (fleet.pick(3) == 0)
            fleet.borrow(fleet.pick(fleet.size()));
        if (fleet.pick(10) == 0)
            repeat_everywhere(fleet, 1 + fleet.pick(20), fleet.pick(2) == 0);
        if (fleet.pick(150) == 0)
            save_and_spend(fleet);
    }
    RC_ASSERT(fleet.worst_excess() <= 0);
}

} // namespace
} // namespace cyclamenrun::testing_support

#include "poison_fleet.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <string>

namespace cyclamenrun::testing_support
{
namespace
{

/** Sends that the users allow with a part under which five upstreams ended. */
constexpr unsigned allowed_late_sends = 3;
/** A conviction needs fewer lost upstreams than that. */
constexpr unsigned max_crashes = 4;

using counts = poison_fleet::counts;

double share_begun(const counts& counted)
{
    return static_cast<double>(counted.begun) /
           std::max(1.0, static_cast<double>(counted.sent));
}

void expect_bounds(const poison_fleet& fleet)
{
    EXPECT_LE(fleet.worst_late_sends(), allowed_late_sends);
    EXPECT_LE(fleet.longest_false_conviction(), poison_fleet::contact_time);
}

/**
 * Lets sound and deadly requests come, and expects that from twice the contact
 * time on half as many sound ones begin at their first attempt as before.
 */
void expect_sound_requests_to_go_on(const poison_fleet::shape& of,
                                    double sound_rate, double deadly_rate)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        poison_fleet fleet(of, seed);
        fleet.run(milliseconds(10'000), sound_rate, 0);
        const auto before = fleet.take_counts();
        fleet.run(2 * poison_fleet::contact_time, sound_rate, deadly_rate);
        (void)fleet.take_counts();
        fleet.run(milliseconds(15'000), sound_rate, deadly_rate);
        const auto during = fleet.take_counts();
        EXPECT_GE(share_begun(during), share_begun(before) / 2)
            << "seed " << seed;
        expect_bounds(fleet);
    }
}

// Guards against upstream after upstream lost to one part of many prompts.
TEST(poison_fleet, convicts_a_part_after_few_losses)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        poison_fleet fleet({}, seed);
        fleet.run(milliseconds(50'000), 10, 0.4);
        EXPECT_LE(fleet.most_crashes(), max_crashes) << "seed " << seed;
        expect_bounds(fleet);
    }
}

// Guards against sound requests that fall with the parts that they share with
// deadly ones.
TEST(poison_fleet, serves_sound_requests_with_other_parts_of_deadly_ones)
{
    expect_sound_requests_to_go_on({}, 10, 2);
}

TEST(poison_fleet, serves_sound_requests_while_two_parts_are_deadly)
{
    poison_fleet::shape of;
    of.deadly_parts = 2;
    expect_sound_requests_to_go_on(of, 10, 3);
}

// Guards against a conviction of all that is read slowly: its runs succeed only
// after upstreams were lost under it.
TEST(poison_fleet, serves_sound_requests_with_long_prompts)
{
    poison_fleet::shape of;
    of.max_prefill = milliseconds(2500);
    of.other_parts = 4;
    expect_sound_requests_to_go_on(of, 10, 3);
}

// Guards against the conviction of a part that has had no success yet: all
// requests have it, deadly ones too.
TEST(poison_fleet, serves_sound_requests_with_a_part_that_is_new)
{
    poison_fleet::shape of;
    of.begun_before = 0;
    of.shared_parts = 1;
    of.other_parts = 1;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        poison_fleet fleet(of, seed);
        fleet.run(2 * poison_fleet::contact_time, 3, 4);
        (void)fleet.take_counts();
        fleet.run(milliseconds(15'000), 3, 4);
        EXPECT_GE(share_begun(fleet.take_counts()), 0.5) << "seed " << seed;
        expect_bounds(fleet);
    }
}

// Guards against the conviction of sound parts by upstreams that crash, leave
// and come back for causes of their own.
TEST(poison_fleet, convicts_no_part_for_other_losses)
{
    poison_fleet::shape of;
    of.deadly_parts = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        poison_fleet fleet(of, seed);
        for (int second = 0; second < 30; ++second) {
            fleet.crash_upstreams(0.15);
            fleet.reclaim_upstreams(0.1);
            fleet.run(milliseconds(1000), 12, 0);
        }
        expect_bounds(fleet);
    }
}

void expect_a_part_that_turns_deadly_to_be_convicted(
    const poison_fleet::shape& of, double sound_rate, double deadly_rate,
    std::uint64_t seeds = 10)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        poison_fleet fleet(of, seed);
        fleet.run(milliseconds(12'000), sound_rate, 0);
        const auto before = fleet.take_counts();
        fleet.turn_deadly(0);
        fleet.run(2 * poison_fleet::contact_time, sound_rate, deadly_rate);
        (void)fleet.take_counts();
        fleet.run(milliseconds(15'000), sound_rate, deadly_rate);
        EXPECT_GE(share_begun(fleet.take_counts()), share_begun(before) / 2);
        expect_bounds(fleet);
    }
}

// Guards against a part that crashes upstream after upstream because it ran
// well until then.
TEST(poison_fleet, convicts_a_part_that_turns_deadly)
{
    poison_fleet::shape of;
    of.upstreams = 12;
    of.deadly_parts = 0;
    of.shared_parts = 20;
    expect_a_part_that_turns_deadly_to_be_convicted(of, 40, 4);
}

// Guards against the same where each of many gateways excuses the part.
TEST(poison_fleet, convicts_a_part_that_turns_deadly_before_many_gateways)
{
    poison_fleet::shape of;
    of.gateways = 28;
    of.upstreams = 40;
    of.deadly_parts = 0;
    of.shared_parts = 20;
    expect_a_part_that_turns_deadly_to_be_convicted(of, 100, 8);
}

// Guards against the same where each prompt has several parts that are rare.
TEST(poison_fleet, convicts_a_part_that_turns_deadly_among_rare_ones)
{
    poison_fleet::shape of;
    of.upstreams = 12;
    of.deadly_parts = 0;
    of.shared_parts = 100;
    of.other_parts = 4;
    of.max_prefill = milliseconds(300);
    expect_a_part_that_turns_deadly_to_be_convicted(of, 30, 4, 40);
}

// Guards against news of convictions that is too slow for a large fleet.
TEST(poison_fleet, keeps_its_bounds_with_370_gateways)
{
    poison_fleet::shape of;
    of.gateways = 370;
    of.upstreams = 400;
    of.shared_parts = 40;
    poison_fleet fleet(of, 1);
    fleet.run(milliseconds(5'000), 200, 20);
    expect_bounds(fleet);
    EXPECT_EQ(fleet.deadly().front().late_sends, 0U);
}

constexpr std::size_t max_deadly_parts = 3;

void disturb(poison_fleet& fleet)
{
    const auto one = fleet.pick(fleet.nodes.size());
    switch (fleet.pick(10)) {
    case 0:
        fleet.restart_gateway(one);
        return;
    case 1:
        fleet.add_gateway();
        return;
    case 2:
        fleet.cut();
        return;
    case 3:
        fleet.heal();
        return;
    case 4:
        fleet.crash_upstreams(0.15);
        return;
    case 5:
        fleet.reclaim_upstreams(0.17);
        return;
    case 6:
        fleet.loss = 0.05 * static_cast<double>(fleet.pick(3));
        return;
    case 7:
        if (fleet.sound_parts() > 1 && fleet.deadly().size() < max_deadly_parts)
            fleet.turn_deadly(fleet.pick(fleet.sound_parts()));
        return;
    default:
        fleet.freeze(one, milliseconds(50 + fleet.pick(2950)));
        return;
    }
}

void run_disturbed(poison_fleet& fleet)
{
    for (int i = 0; i < 20; ++i) {
        if (fleet.pick(2) == 0)
            disturb(fleet);
        fleet.run(milliseconds(50 + fleet.pick(2950)),
                  8.0 * static_cast<double>(fleet.pick(3)),
                  3.0 * static_cast<double>(fleet.pick(3)));
    }
}

// Guards against a sound part that one half of a cut fleet refuses for long: of
// what crashes the upstreams that both share, it knows only what it sent
// itself.
TEST(poison_fleet, lets_sound_parts_go_on_while_cut_into_halves)
{
    poison_fleet::shape of;
    of.gateways = 18;
    of.upstreams = 25;
    of.shared_parts = 11;
    of.max_prefill = milliseconds(300);
    of.begun_before = 0;
    poison_fleet fleet(of, 6480740019160869770U);
    run_disturbed(fleet);
    expect_bounds(fleet);
}

// Guards against late sends of deadly parts and against sound parts that stay
// convicted, whatever is lost, restarted, paused, added or cut off in between.
RC_GTEST_PROP(poison_fleet, keeps_its_bounds_whatever_happens, ())
{
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    poison_fleet::shape of;
    of.gateways = *rc::gen::inRange<std::size_t>(5, 31);
    of.upstreams = of.gateways + *rc::gen::inRange<std::size_t>(1, 30);
    of.shared_parts = *rc::gen::inRange<std::size_t>(1, 13);
    of.other_parts = *rc::gen::inRange<std::size_t>(1, 5);
    of.deadly_parts = *rc::gen::inRange<std::size_t>(1, 3);
    of.max_prefill = milliseconds(*rc::gen::element(300, 2000));
    of.begun_before = *rc::gen::element(0, 1);
    poison_fleet fleet(of, seed);
    run_disturbed(fleet);
    RC_ASSERT(fleet.worst_late_sends() <= allowed_late_sends);
    RC_ASSERT(fleet.longest_false_conviction() <= poison_fleet::contact_time);
}

} // namespace
} // namespace cyclamenrun::testing_support

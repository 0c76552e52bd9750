#include "configuration_store.hpp"
#include "fake_log.hpp"
#include "order_claims.hpp"
#include "order_lease.hpp"
#include "order_queue.hpp"
#include "order_runner.hpp"
#include "sample_changes.hpp"

#include <gtest/gtest.h>
#include <iostream>
#include <random>

namespace cyclamenrun
{
namespace
{

/** An engine, with or without a memory for fencing numbers. */
struct fake_engine {
    struct taken_order {
        std::uint64_t incarnation = 0;
        std::uint64_t fence = 0;
        time_point from{};
        time_point to{};
    };

    order_result take(std::uint64_t incarnation, const engine_order& order,
                      time_point from, time_point to)
    {
        if (honours_fencing && order.fence < highest)
            return order_result::old_number;
        highest = std::max(highest, order.fence);
        taken.push_back({incarnation, order.fence, from, to});
        return order_result::done;
    }

    /**
     * Whether an order was taken after one of a later claimant. An engine
     * that looks at the numbers puts orders in a row as they come; on one
     * that doesn't, orders of two agents must not even overlap.
     */
    bool disordered() const
    {
        for (std::size_t i = 1; i < taken.size(); ++i) {
            if (taken[i].fence < taken[i - 1].fence)
                return true;
            if (!honours_fencing &&
                taken[i].incarnation != taken[i - 1].incarnation &&
                taken[i].from < taken[i - 1].to)
                return true;
        }
        return false;
    }

    bool honours_fencing = true;
    std::uint64_t highest = 0;
    std::vector<taken_order> taken;
};

struct engine_world {
    fake_log log;
    fake_engine engine;
    time_point now{};
};

/** An agent as far as orders go; it always has another one to give. */
class simulated_agent
{
public:
    simulated_agent(engine_world& world, std::uint64_t incarnation,
                    order_lease_settings settings)
        : world_(world), incarnation_(incarnation), settings_(settings),
          claims_(world.log, store_), queue_({}, [] { return 0.0; }),
          runner_(
              "vm-1", incarnation, settings, claims_, queue_,
              [this](const engine_order& order) { return send(order); },
              [this] { return clock(); })
    {
        want_another();
    }

    void want_another()
    {
        queue_.on_desired(
            {{engine_action::set_role, "role-" + std::to_string(++wanted_)}}, 1,
            clock());
    }

    order_runner_state pass()
    {
        if (clock() < frozen_until_)
            return order_runner_state::claiming;
        const auto state = runner_.pass();
        if (state == order_runner_state::acted)
            want_another();
        return state;
    }

    /** It stops for a while; clocks go on. */
    void freeze(milliseconds how_long) { frozen_until_ = clock() + how_long; }
    /** Its next order is held up between the decision and the engine. */
    void freeze_in_order() { frozen_in_order_ = true; }
    /** Runs `meanwhile` just before the clock is read for the n-th time. */
    void freeze_at(int reading, std::function<void()> meanwhile)
    {
        freeze_at_ = readings_ + reading;
        meanwhile_ = std::move(meanwhile);
    }
    /** Its clock goes faster or slower than the world's, by so many in 1000. */
    void set_drift(int per_mille) { drift_ = per_mille; }

    order_runner& runner() { return runner_; }

private:
    time_point clock()
    {
        if (++readings_ == freeze_at_)
            meanwhile_();
        const auto since = world_.now.time_since_epoch();
        return time_point(since + since * drift_ / 1000);
    }

    order_result send(const engine_order& order)
    {
        const time_point start = world_.now;
        const auto limit = settings_.order_limit;
        return world_.engine.take(incarnation_, order, start,
                                  start +
                                      (frozen_in_order_ ? limit : limit / 10));
    }

    engine_world& world_;
    std::uint64_t incarnation_;
    order_lease_settings settings_;
    configuration_store store_;
    order_claims claims_;
    order_queue queue_;
    order_runner runner_;
    int wanted_ = 0;
    int drift_ = 0;
    int readings_ = 0;
    int freeze_at_ = 0;
    std::function<void()> meanwhile_;
    bool frozen_in_order_ = false;
    time_point frozen_until_{};
};

order_lease_settings settings_for(bool honours_fencing)
{
    order_lease_settings settings;
    settings.engine_honours_fencing = honours_fencing;
    return settings;
}

/** Passes until an order was given; returns the time that took. */
milliseconds run_until_acted(engine_world& world, simulated_agent& agent)
{
    const time_point start = world.now;
    while (agent.pass() != order_runner_state::acted) {
        world.now += milliseconds(100);
        if (world.now > start + std::chrono::minutes(2))
            break;
    }
    return std::chrono::duration_cast<milliseconds>(world.now - start);
}

// A new agent comes while the old one is frozen with an order in hand. With
// an engine that ignores fencing numbers the old order, sent on resume,
// would undo the new agent's.
TEST(order_lease, has_a_frozen_agent_drop_its_order_on_resume)
{
    engine_world world;
    world.engine.honours_fencing = false;
    const auto settings = settings_for(false);
    simulated_agent old_agent(world, 1, settings);
    run_until_acted(world, old_agent);
    ASSERT_EQ(world.engine.taken.size(), 1U);
    old_agent.freeze(std::chrono::minutes(1));
    simulated_agent new_agent(world, 2, settings);
    const auto waited = run_until_acted(world, new_agent);
    EXPECT_GE(waited, settings.lease + settings.margin);
    world.now += std::chrono::minutes(1);
    for (int i = 0; i < 50; ++i) {
        old_agent.pass();
        world.now += milliseconds(100);
    }
    EXPECT_EQ(old_agent.pass(), order_runner_state::stood_down);
    EXPECT_EQ(world.engine.taken.back().incarnation, 2U);
    EXPECT_FALSE(world.engine.disordered());
}

// The same, with the old agent frozen at every step between looking at the
// clock and giving the order.
TEST(order_lease, drops_its_order_wherever_it_was_frozen)
{
    int given_before = 0;
    for (int reading = 1; reading <= 30; ++reading) {
        engine_world world;
        world.engine.honours_fencing = false;
        const auto settings = settings_for(false);
        simulated_agent old_agent(world, 1, settings);
        simulated_agent new_agent(world, 2, settings);
        run_until_acted(world, old_agent);
        old_agent.freeze_at(reading,
                            [&] { run_until_acted(world, new_agent); });
        for (int i = 0; i < 30; ++i)
            old_agent.pass();
        ASSERT_FALSE(world.engine.disordered()) << "reading " << reading;
        ASSERT_EQ(world.engine.taken.back().incarnation, 2U) << reading;
        given_before += static_cast<int>(world.engine.taken.size());
    }
    EXPECT_GT(given_before, 90);
}

// The same with an engine that refuses old numbers: nobody has to wait.
TEST(order_lease, does_not_wait_where_the_engine_refuses_old_numbers)
{
    engine_world world;
    simulated_agent old_agent(world, 1, settings_for(true));
    run_until_acted(world, old_agent);
    simulated_agent new_agent(world, 2, settings_for(true));
    EXPECT_LE(run_until_acted(world, new_agent), milliseconds(1'000));
    EXPECT_EQ(world.engine.take(1, {1, {}, {}, {}}, world.now, world.now),
              order_result::old_number);
}

// The claim's append gets lost, or its answer, or it comes twice, or late:
// after the new agent's claim, where it must not take the engine back.
TEST(order_lease, survives_lost_doubled_and_late_claims)
{
    for (const auto fate : {append_fate::answer_lost, append_fate::request_lost,
                            append_fate::duplicated, append_fate::delayed}) {
        engine_world world;
        world.engine.honours_fencing = false;
        simulated_agent old_agent(world, 1, settings_for(false));
        world.log.expect(fate);
        run_until_acted(world, old_agent);
        simulated_agent new_agent(world, 2, settings_for(false));
        run_until_acted(world, new_agent);
        world.log.release();
        run_until_acted(world, new_agent);
        ASSERT_FALSE(world.engine.taken.empty());
        EXPECT_EQ(world.engine.taken.back().incarnation, 2U);
        EXPECT_FALSE(world.engine.disordered());
    }
}

TEST(order_lease, gives_no_order_when_the_log_is_out)
{
    engine_world world;
    world.log.set_out(true);
    simulated_agent agent(world, 1, settings_for(true));
    EXPECT_GT(run_until_acted(world, agent), std::chrono::minutes(1));
    EXPECT_TRUE(world.engine.taken.empty());
}

// Claims are kept for a bounded number of upstreams; an agent whose claim
// dropped out must neither act by it nor stand down for ever.
TEST(order_lease, claims_anew_when_its_claim_is_no_longer_kept)
{
    const auto settings = settings_for(false);
    order_lease lease("vm-1", 1, settings);
    time_point now{};
    v1::ClaimState own;
    own.set_upstream("vm-1");
    own.set_incarnation(1);
    own.set_fencing_number(5);
    lease.on_claim_read({}, now, now);
    lease.on_claim_sent(now);
    lease.on_claim_read(own, now, now);
    now += settings.lease + settings.margin;
    lease.on_claim_read({}, now, now);
    EXPECT_FALSE(lease.may_act(now));
    EXPECT_EQ(lease.next(now), lease_step::append_claim);
    EXPECT_EQ(lease.claim().base_fencing_number(), 0U);
}

// The agent is frozen while its claim is under way and reads it back late.
// Counted from the read-back, its lease would outlive a taker's wait.
TEST(order_lease, counts_its_lease_from_when_the_claim_was_first_sent)
{
    const auto settings = settings_for(true);
    order_lease lease("vm-1", 1, settings);
    const time_point sent{};
    v1::ClaimState own;
    own.set_upstream("vm-1");
    own.set_incarnation(1);
    own.set_fencing_number(5);
    lease.on_claim_read({}, sent, sent);
    lease.on_claim_sent(sent);
    lease.on_claim_sent(sent + milliseconds(1'000)); // another copy
    lease.on_claim_read(own, sent, sent + milliseconds(5'000));
    const auto last = sent + settings.lease - settings.order_limit;
    EXPECT_TRUE(lease.may_act(last));
    EXPECT_FALSE(lease.may_act(last + milliseconds(1)));
}

// Two agents for one upstream, frozen, cut from the log and with clocks that
// drift, at random: whatever the order of events, the engine must not take
// an order after one of a later claimant.
TEST(order_lease, lets_one_claimant_act_at_a_time)
{
    std::uint64_t orders = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        std::mt19937_64 random(seed);
        engine_world world;
        world.engine.honours_fencing = seed % 4 == 0;
        const auto settings = settings_for(world.engine.honours_fencing);
        std::vector<std::unique_ptr<simulated_agent>> agents;
        for (std::uint64_t i = 1; i <= 3; ++i) {
            agents.push_back(
                std::make_unique<simulated_agent>(world, i, settings));
            agents.back()->set_drift(static_cast<int>(random() % 21) - 10);
        }
        for (int i = 0; i < 2'000; ++i) {
            const std::size_t started = 1 + std::min(i / 500, 2);
            auto& agent = *agents.at(random() % started);
            agent.pass();
            if (random() % 50 == 0)
                agent.freeze(milliseconds(random() % 30'000));
            if (random() % 40 == 0)
                agent.freeze_in_order();
            if (random() % 30 == 0)
                world.log.expect(static_cast<append_fate>(random() % 5));
            if (random() % 30 == 0)
                world.log.release();
            if (random() % 40 == 0)
                world.log.set_out(random() % 3 == 0);
            world.now += milliseconds(random() % 300);
        }
        ASSERT_FALSE(world.engine.disordered()) << "seed " << seed;
        orders += world.engine.taken.size();
    }
    std::cout << "orders taken in 300 seeds: " << orders << '\n';
    EXPECT_GT(orders, 5'000U);
}

TEST(order_queue, wants_what_assignments_say)
{
    configuration_state state;
    state.apply(0, log_record_of(service_change("s", 0)));
    auto prefill = assignment_change("a", 0, "a", "redactor");
    prefill.mutable_resource()->mutable_assignment()->set_role("prefill");
    auto decode = assignment_change("b", 0, "b", "redactor");
    decode.mutable_resource()->mutable_assignment()->set_role("decode");
    state.apply(1, log_record_of(prefill));
    state.apply(2, log_record_of(decode));
    std::map<std::string, int> roles;
    for (int i = 0; i < 100; ++i) {
        const auto orders = desired_orders(state.resources(), "redactor",
                                           "vm-" + std::to_string(i));
        ASSERT_EQ(orders.size(), 3U);
        EXPECT_EQ(orders[0].value, "dossier-13b");
        EXPECT_EQ(orders[1].value, "v7");
        ++roles[orders[2].value];
    }
    EXPECT_GT(roles["prefill"], 25);
    EXPECT_GT(roles["decode"], 25);
}

/** Tries at the weight store until all agents have loaded. */
struct load_outcome {
    int refused = 0;
    milliseconds took{0};
};

load_outcome restart_domain(bool spread)
{
    constexpr int agents = 100;
    constexpr double store_rate = 2.0;
    std::mt19937_64 random(7);
    std::uniform_real_distribution<double> even(0.0, 1.0);
    order_queue_settings settings;
    settings.loads_per_second = spread ? store_rate / 1.3 : 1e9;
    std::vector<order_queue> queues;
    time_point now{};
    for (int i = 0; i < agents; ++i) {
        queues.emplace_back(settings, [&] { return even(random); });
        queues.back().on_desired({{engine_action::load_model, "m"}}, agents,
                                 now);
    }
    load_outcome result;
    double tokens = 4.0;
    int loaded = 0;
    while (loaded < agents && now < time_point{} + std::chrono::hours(1)) {
        for (auto& queue : queues) {
            const auto order = queue.next(now);
            if (!order)
                continue;
            const bool room = tokens >= 1.0;
            tokens -= room ? 1.0 : 0.0;
            loaded += room ? 1 : 0;
            result.refused += room ? 0 : 1;
            queue.on_result(
                *order, room ? order_result::done : order_result::store_limited,
                now);
        }
        now += milliseconds(100);
        tokens = std::min(4.0, tokens + store_rate / 10);
    }
    result.took =
        std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
    return result;
}

// A failure domain restarts: a hundred agents want weights from a store that
// gives two a second. All at once, most are refused, again and again.
TEST(order_queue, does_not_stampede_the_weight_store)
{
    const auto spread = restart_domain(true);
    const auto at_once = restart_domain(false);
    std::cout << "refused: " << spread.refused << " spread, " << at_once.refused
              << " at once; took " << spread.took.count() << " ms and "
              << at_once.took.count() << " ms\n";
    EXPECT_LT(spread.refused, 50);
    EXPECT_GT(at_once.refused, 4 * spread.refused);
    EXPECT_LT(spread.took, std::chrono::minutes(2));
}

} // namespace
} // namespace cyclamenrun

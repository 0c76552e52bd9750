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

/** An engine that checks the fencing numbers of orders or ignores them. */
struct fake_engine {
    struct accepted_order {
        std::uint64_t incarnation = 0;
        std::uint64_t fence = 0;
        time_point from{}; ///< start of the execution
        time_point to{};
    };

    order_result handle_order(std::uint64_t incarnation,
                              const engine_order& order, time_point from,
                              time_point to)
    {
        if (honours_fencing && order.fence < highest_fence)
            return order_result::stale_fencing_number;
        highest_fence = std::max(highest_fence, order.fence);
        accepted_orders.push_back({incarnation, order.fence, from, to});
        return order_result::done;
    }

    /**
     * Returns whether an order was accepted after an order of a later claimant.
     * An engine that checks fencing numbers serializes the orders it receives;
     * at any other engine, orders of two agents must not overlap in time
     * either.
     */
    bool has_order_violation() const
    {
        for (std::size_t i = 1; i < accepted_orders.size(); ++i) {
            if (accepted_orders[i].fence < accepted_orders[i - 1].fence)
                return true;
            if (!honours_fencing &&
                accepted_orders[i].incarnation !=
                    accepted_orders[i - 1].incarnation &&
                accepted_orders[i].from < accepted_orders[i - 1].to)
                return true;
        }
        return false;
    }

    bool honours_fencing = true;
    std::uint64_t highest_fence = 0;
    std::vector<accepted_order> accepted_orders;
};

struct engine_world {
    fake_log log;
    fake_engine engine;
    time_point now{};
};

/** The order handling of an agent that always has another order to send. */
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
        add_desired_order();
    }

    void add_desired_order()
    {
        queue_.set_desired_orders({{engine_action::set_role,
                                    "role-" + std::to_string(++order_count_)}},
                                  1, clock());
    }

    order_runner_state run_step()
    {
        if (clock() < suspended_until_)
            return order_runner_state::claiming;
        const auto state = runner_.run_step();
        if (state == order_runner_state::acted)
            add_desired_order();
        return state;
    }

    /** Suspends the agent for a time; its clock continues. */
    void suspend(milliseconds duration)
    {
        suspended_until_ = clock() + duration;
    }
    /** Makes each later order last for the whole order limit. */
    void delay_orders() { orders_delayed_ = true; }
    /**
     * Suspends the agent just before the n-th reading of its clock from now;
     * `meanwhile` runs during the suspension.
     */
    void suspend_at(int reading, std::function<void()> meanwhile)
    {
        suspend_at_ = readings_ + reading;
        meanwhile_ = std::move(meanwhile);
    }
    /** Sets the clock's drift in thousandths; positive if it runs fast. */
    void set_drift(int per_mille) { drift_per_mille_ = per_mille; }

    order_runner& runner() { return runner_; }

private:
    time_point clock()
    {
        if (++readings_ == suspend_at_)
            meanwhile_();
        const auto since = world_.now.time_since_epoch();
        return time_point(since + since * drift_per_mille_ / 1000);
    }

    order_result send(const engine_order& order)
    {
        const time_point start = world_.now;
        const auto limit = settings_.order_limit;
        return world_.engine.handle_order(
            incarnation_, order, start,
            start + (orders_delayed_ ? limit : limit / 10));
    }

    engine_world& world_;
    std::uint64_t incarnation_;
    order_lease_settings settings_;
    configuration_store store_;
    order_claims claims_;
    order_queue queue_;
    order_runner runner_;
    int order_count_ = 0;
    int drift_per_mille_ = 0;
    int readings_ = 0;
    int suspend_at_ = 0;
    std::function<void()> meanwhile_;
    bool orders_delayed_ = false;
    time_point suspended_until_{};
};

order_lease_settings settings_for(bool honours_fencing)
{
    order_lease_settings settings;
    settings.engine_honours_fencing = honours_fencing;
    return settings;
}

/**
 * Runs the agent until it has sent an order, for at most two minutes. Returns
 * the elapsed time.
 */
milliseconds run_until_order_sent(engine_world& world, simulated_agent& agent)
{
    const time_point start = world.now;
    while (agent.run_step() != order_runner_state::acted) {
        world.now += milliseconds(100);
        if (world.now > start + std::chrono::minutes(2))
            break;
    }
    return std::chrono::duration_cast<milliseconds>(world.now - start);
}

// A new agent takes over while the old one is suspended with an order pending.
// At an engine that ignores fencing numbers, the old agent's order would
// override the new agent's if it were sent on resume.
TEST(order_lease, drops_an_order_after_a_suspension)
{
    engine_world world;
    world.engine.honours_fencing = false;
    const auto settings = settings_for(false);
    simulated_agent old_agent(world, 1, settings);
    run_until_order_sent(world, old_agent);
    ASSERT_EQ(world.engine.accepted_orders.size(), 1U);
    old_agent.suspend(std::chrono::minutes(1));
    simulated_agent new_agent(world, 2, settings);
    const auto waited = run_until_order_sent(world, new_agent);
    EXPECT_GE(waited, settings.lease + settings.margin);
    world.now += std::chrono::minutes(1);
    for (int i = 0; i < 50; ++i) {
        old_agent.run_step();
        world.now += milliseconds(100);
    }
    EXPECT_EQ(old_agent.run_step(), order_runner_state::stood_down);
    EXPECT_EQ(world.engine.accepted_orders.back().incarnation, 2U);
    EXPECT_FALSE(world.engine.has_order_violation());
}

// As above, but the old agent is suspended at each point between a reading of
// its clock and the sending of an order.
TEST(order_lease, drops_an_order_after_a_suspension_at_any_point)
{
    int accepted_total = 0;
    for (int reading = 1; reading <= 30; ++reading) {
        engine_world world;
        world.engine.honours_fencing = false;
        const auto settings = settings_for(false);
        simulated_agent old_agent(world, 1, settings);
        simulated_agent new_agent(world, 2, settings);
        run_until_order_sent(world, old_agent);
        old_agent.suspend_at(reading,
                             [&] { run_until_order_sent(world, new_agent); });
        for (int i = 0; i < 30; ++i)
            old_agent.run_step();
        ASSERT_FALSE(world.engine.has_order_violation())
            << "reading " << reading;
        ASSERT_EQ(world.engine.accepted_orders.back().incarnation, 2U)
            << reading;
        accepted_total += static_cast<int>(world.engine.accepted_orders.size());
    }
    EXPECT_GT(accepted_total, 90);
}

// An engine that refuses old fencing numbers makes it unnecessary to wait until
// the old agent's lease has expired.
TEST(order_lease, does_not_wait_where_the_engine_refuses_old_numbers)
{
    engine_world world;
    simulated_agent old_agent(world, 1, settings_for(true));
    run_until_order_sent(world, old_agent);
    simulated_agent new_agent(world, 2, settings_for(true));
    EXPECT_LE(run_until_order_sent(world, new_agent), milliseconds(1'000));
    EXPECT_EQ(
        world.engine.handle_order(1, {1, {}, {}, {}}, world.now, world.now),
        order_result::stale_fencing_number);
}

// The append of a claim or its answer is lost, or the record is duplicated or
// delayed. A delayed copy that reaches the log after the new agent's claim must
// not give the engine back to the old agent.
TEST(order_lease, handles_lost_duplicated_and_late_claims)
{
    for (const auto result :
         {append_result::answer_lost, append_result::request_lost,
          append_result::duplicated, append_result::delayed}) {
        engine_world world;
        world.engine.honours_fencing = false;
        simulated_agent old_agent(world, 1, settings_for(false));
        world.log.queue_result(result);
        run_until_order_sent(world, old_agent);
        simulated_agent new_agent(world, 2, settings_for(false));
        run_until_order_sent(world, new_agent);
        world.log.deliver_delayed();
        run_until_order_sent(world, new_agent);
        ASSERT_FALSE(world.engine.accepted_orders.empty());
        EXPECT_EQ(world.engine.accepted_orders.back().incarnation, 2U);
        EXPECT_FALSE(world.engine.has_order_violation());
    }
}

TEST(order_lease, sends_no_order_while_the_log_is_unavailable)
{
    engine_world world;
    world.log.set_unavailable(true);
    simulated_agent agent(world, 1, settings_for(true));
    EXPECT_GT(run_until_order_sent(world, agent), std::chrono::minutes(1));
    EXPECT_TRUE(world.engine.accepted_orders.empty());
}

// Claims are stored for a limited number of upstreams. An agent whose claim was
// evicted must not send orders under it, and must append a new claim.
TEST(order_lease, claims_again_after_its_claim_was_evicted)
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
    EXPECT_FALSE(lease.may_send_order(now));
    EXPECT_EQ(lease.next(now), lease_step::append_claim);
    EXPECT_EQ(lease.claim().base_fencing_number(), 0U);
}

// An agent is suspended while its claim is in transit and reads it back late.
// If its lease started at the read-back, it would last longer than the time
// for which a successor waits.
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
    lease.on_claim_sent(sent + milliseconds(1'000)); // second copy of the claim
    lease.on_claim_read(own, sent, sent + milliseconds(5'000));
    const auto last = sent + settings.lease - settings.order_limit;
    EXPECT_TRUE(lease.may_send_order(last));
    EXPECT_FALSE(lease.may_send_order(last + milliseconds(1)));
}

// Up to three agents of one upstream are suspended at random and lose access
// to the log while their clocks drift. Whatever the order of events, the engine
// must not accept an order of one claimant after an order of a later one.
TEST(order_lease, allows_one_claimant_at_a_time)
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
            const std::size_t started_agents = 1 + std::min(i / 500, 2);
            auto& agent = *agents.at(random() % started_agents);
            agent.run_step();
            if (random() % 50 == 0)
                agent.suspend(milliseconds(random() % 30'000));
            if (random() % 40 == 0)
                agent.delay_orders();
            if (random() % 30 == 0)
                world.log.queue_result(
                    static_cast<append_result>(random() % 5));
            if (random() % 30 == 0)
                world.log.deliver_delayed();
            if (random() % 40 == 0)
                world.log.set_unavailable(random() % 3 == 0);
            world.now += milliseconds(random() % 300);
        }
        ASSERT_FALSE(world.engine.has_order_violation()) << "seed " << seed;
        orders += world.engine.accepted_orders.size();
    }
    std::cout << "orders accepted in 300 seeds: " << orders << '\n';
    EXPECT_GT(orders, 5'000U);
}

TEST(order_queue, derives_orders_from_assignments)
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

struct load_outcome {
    int refused = 0;           ///< requests that the weight store refused
    milliseconds load_time{0}; ///< until all agents have loaded the model
};

/**
 * Lets 100 agents load weights from a store that accepts 2 requests per second
 * and bursts of 4. With `spread`, their first requests are spread over 1.3
 * times the time that the store needs for all of them.
 */
load_outcome restart_domain(bool spread)
{
    constexpr int agents = 100;
    constexpr double store_rate = 2.0;
    std::mt19937_64 random(7);
    std::uniform_real_distribution<double> uniform(0.0, 1.0);
    order_queue_settings settings;
    settings.loads_per_second = spread ? store_rate / 1.3 : 1e9;
    std::vector<order_queue> queues;
    time_point now{};
    for (int i = 0; i < agents; ++i) {
        queues.emplace_back(settings, [&] { return uniform(random); });
        queues.back().set_desired_orders({{engine_action::load_model, "m"}},
                                         agents, now);
    }
    load_outcome result;
    double store_budget = 4.0; // requests that the store would accept now
    int loaded = 0;
    while (loaded < agents && now < time_point{} + std::chrono::hours(1)) {
        for (auto& queue : queues) {
            const auto order = queue.next(now);
            if (!order)
                continue;
            const bool accepted = store_budget >= 1.0;
            store_budget -= accepted ? 1.0 : 0.0;
            loaded += accepted ? 1 : 0;
            result.refused += accepted ? 0 : 1;
            queue.on_result(*order,
                            accepted ? order_result::done
                                     : order_result::store_limited,
                            now);
        }
        now += milliseconds(100);
        store_budget = std::min(4.0, store_budget + store_rate / 10);
    }
    result.load_time =
        std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
    return result;
}

// After the restart of a failure domain, 100 agents load weights from a store
// that serves two requests per second. If all requested them at once, the store
// would refuse most of them repeatedly (thundering herd).
TEST(order_queue, avoids_a_thundering_herd_at_the_weight_store)
{
    const auto spread = restart_domain(true);
    const auto at_once = restart_domain(false);
    std::cout << "refused: " << spread.refused << " spread, " << at_once.refused
              << " at once; took " << spread.load_time.count() << " ms and "
              << at_once.load_time.count() << " ms\n";
    EXPECT_LT(spread.refused, 50);
    EXPECT_GT(at_once.refused, 4 * spread.refused);
    EXPECT_LT(spread.load_time, std::chrono::minutes(2));
}

} // namespace
} // namespace cyclamenrun

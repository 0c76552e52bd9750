#include "trial.hpp"

#include "bench_agent.hpp"
#include "bench_entry.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <queue>
#include <random>

namespace cyclamenrun::bench
{

namespace
{

using namespace std::chrono_literals;

const time_point epoch = time_point{} + 1h;

// People who read an answer don't notice gaps between tokens up to this length.
constexpr double max_unnoticed_gap_ms = 100.0;
// Maximum retries of a refused caller, each after the time in its refusal.
constexpr std::uint32_t max_caller_retries = 3;
// Maximum number of upstreams tried for each request of a caller.
constexpr std::size_t max_upstreams_tried = 3;
// Intervals and delays of load reports.
constexpr duration agent_report_interval = 250ms;
constexpr duration agent_report_lag = 5ms;
constexpr duration engine_report_interval = 500ms;
constexpr duration engine_report_lag = 500ms;
constexpr duration late_report_lag = 2s;
constexpr duration cache_event_lag = 500ms;
// Share of the cache events that are lost.
constexpr double cache_gap = 0.1;
constexpr double cache_gap_in_fault = 0.7;
// Delay until the list of VMs shows the loss of a VM.
constexpr duration vm_list_lag = 2s;
// Time from the notice to the loss of a reclaimed engine.
constexpr duration reclaim_notice = 10s;
// Time until a lost engine or a cut failure domain returns.
constexpr duration outage = 60s;
constexpr duration crash_outage = 20s;
// A poison request crashes its engine at this token.
constexpr std::uint32_t poison_token = 20;
constexpr std::uint32_t max_poison_attempts = 8;
constexpr std::size_t heavy_team = 6;
// Teams with mostly short answers, which request less than 60% of their fair
// share of tokens at load 1.0.
constexpr std::array<std::size_t, 2> light_teams = {3, 7};

duration from_s(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

double in_s(duration span)
{
    return std::chrono::duration<double>(span).count();
}

/** The state of a caller and its request. */
struct caller_state {
    enum class phase : std::uint8_t { not_dispatched, dispatched, done };

    phase current_phase = phase::not_dispatched;
    std::size_t entry = 0;
    std::size_t upstream = SIZE_MAX; ///< in phase dispatched only
    std::uint32_t retries_made = 0;
    std::uint32_t losses = 0;    ///< engine losses while it ran
    std::uint32_t delivered = 0; ///< tokens
    bool poison = false;
    bool suspect = false;
    time_point arrival{};
    time_point last_request{}; ///< including retries
    time_point deadline{};
    time_point last_token{};
    /** Wait for the first token, and the noticed parts of later gaps. */
    double stall_ms = 0;
    std::vector<std::string> excluded; ///< upstreams already tried
};

/** Discrete event simulation of one trial in virtual time. */
class simulation
{
public:
    explicit simulation(const trial_settings& settings);
    trial_measures run();

private:
    using action = std::function<void()>;
    struct event {
        time_point at;
        std::uint64_t order; ///< of insertion, for equal times
        action act;
        /** Inverted, so that the queue yields the earliest event first. */
        bool operator<(const event& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void after(duration wait, action act) { at(now_ + wait, std::move(act)); }
    void at(time_point when, action act);
    bool is_measured(const caller_state& caller) const;
    bool in_window(time_point when) const;

    void plan_callers();
    void plan_reports();
    void plan_fault();
    void plan_poison();
    time_point fault_time() const;

    void arrive(std::size_t id);
    std::size_t pick_entry();
    void route(std::size_t id);
    route_request request_of(std::size_t id) const;
    std::vector<candidate> candidates_of(const bench_entry& from) const;
    void deliver(std::size_t id, std::size_t upstream);
    void retry_elsewhere(std::size_t id, const std::optional<refusal>& why);
    void refuse(std::size_t id, const refusal& why);
    void give_up(std::size_t id);
    /** Ends a caller that gets no complete answer. */
    void end_unanswered(std::size_t id);

    void step(std::size_t upstream);
    void end_step(std::size_t upstream);
    void handle_token(std::size_t id);
    void answered(std::size_t id);
    void count_preemptions(std::size_t upstream);
    void report_cache_events(std::size_t upstream);

    void fail_engine(std::size_t upstream, duration outage_duration);
    void handle_engine_loss(std::size_t id);
    void resend_poison(std::size_t id);

    const trial_settings& settings_;
    std::vector<request> requests_;
    std::vector<caller_state> callers_;
    std::vector<std::unique_ptr<bench_agent>> agents_;
    std::vector<std::unique_ptr<bench_entry>> entries_;
    std::vector<bool> listed_; ///< upstreams that the VM list shows
    /** Incremented when an engine is lost, to ignore the end of its step. */
    std::vector<std::uint64_t> engine_incarnations_;
    /** Counted preemptions and recomputed tokens of each engine. */
    std::vector<std::pair<std::uint64_t, std::uint64_t>> counted_preemptions_;
    std::priority_queue<event> events_;
    std::uint64_t order_ = 0;
    time_point now_ = epoch;
    time_point end_;
    std::mt19937_64 random_;
    trial_measures measures_;
    bool reports_late_ = false;
    bool cache_gaps_ = false;
};

simulation::simulation(const trial_settings& settings)
    : settings_(settings),
      end_(epoch + from_s(settings.warm_up_s + settings.window_s +
                          (settings.no_deadlines
                               ? 0
                               : settings.tested_deployment.deadline_s))),
      random_(settings.seed * 7919 + 17),
      measures_(settings.tested_deployment.teams.size())
{
    workload_settings load;
    load.requests_per_second = settings.requests_per_second;
    // Callers continue to arrive after the window. Otherwise a backlog would
    // drain on an otherwise idle system, and overload would look harmless.
    load.seconds = in_s(end_ - epoch);
    load.lengths = settings.lengths;
    if (settings.fault == fault_kind::heavy_team) {
        load.heavy_team = heavy_team;
        load.heavy_from_s = settings.warm_up_s;
    }
    requests_ = make_workload(settings.tested_deployment, load, settings.seed);
    callers_.resize(requests_.size());
    for (std::size_t i = 0; i < settings.tested_deployment.engines; ++i)
        agents_.push_back(std::make_unique<bench_agent>(
            settings.tested_deployment, settings.tested_policy, settings.engine,
            i, requests_, settings.no_deadlines));
    for (std::size_t i = 0;
         i < settings.tested_deployment.failure_domains.size(); ++i)
        entries_.push_back(std::make_unique<bench_entry>(
            settings.tested_deployment, settings.tested_policy, i,
            settings.seed * 31 + i, settings.no_deadlines));
    listed_.assign(agents_.size(), true);
    engine_incarnations_.assign(agents_.size(), 0);
    counted_preemptions_.resize(agents_.size());
    measures_.window_s = settings.window_s;
}

void simulation::at(time_point when, action act)
{
    events_.push({when, order_++, std::move(act)});
}

trial_measures simulation::run()
{
    plan_callers();
    plan_reports();
    plan_fault();
    while (!events_.empty() && events_.top().at <= end_) {
        const event next = std::move(const_cast<event&>(events_.top()));
        events_.pop();
        now_ = next.at;
        next.act();
    }
    return std::move(measures_);
}

bool simulation::is_measured(const caller_state& caller) const
{
    return in_window(caller.arrival);
}

bool simulation::in_window(time_point when) const
{
    return when >= epoch + from_s(settings_.warm_up_s) &&
           when < epoch + from_s(settings_.warm_up_s + settings_.window_s);
}

void simulation::plan_callers()
{
    for (std::size_t id = 0; id < requests_.size(); ++id)
        at(epoch + from_s(requests_[id].arrival_s), [this, id] { arrive(id); });
}

void simulation::plan_reports()
{
    for (std::size_t i = 0; i < agents_.size(); ++i) {
        const bool uses_cyclamenrun =
            settings_.tested_policy.uses_cyclamenrun();
        const duration every =
            uses_cyclamenrun ? agent_report_interval : engine_report_interval;
        for (time_point when = epoch + every * (i + 1) / agents_.size();
             when < end_; when += every)
            at(when, [this, i, uses_cyclamenrun] {
                const load_report sent_report = agents_[i]->report(now_);
                const duration lag = reports_late_      ? late_report_lag
                                     : uses_cyclamenrun ? agent_report_lag
                                                        : engine_report_lag;
                after(lag, [this, sent_report] {
                    for (auto& entry : entries_)
                        entry->update_report(sent_report, now_);
                });
            });
        for (time_point when = epoch; uses_cyclamenrun && when < end_;
             when += engine_report_interval)
            at(when, [this, i] {
                const engine_load_hint hint = agents_[i]->engine_load();
                after(reports_late_ ? late_report_lag : engine_report_lag,
                      [this, i, hint] {
                          agents_[i]->handle_engine_report(hint, now_);
                      });
            });
    }
}

time_point simulation::fault_time() const
{
    return epoch + from_s(settings_.warm_up_s + settings_.window_s / 4);
}

void simulation::plan_fault()
{
    switch (settings_.fault) {
    case fault_kind::none:
    case fault_kind::heavy_team:
        break;
    case fault_kind::engine_lost:
        at(fault_time(), [this] { fail_engine(0, outage); });
        break;
    case fault_kind::engine_reclaimed:
        at(fault_time(), [this] {
            agents_[0]->leaving = true;
            after(vm_list_lag, [this] { listed_[0] = false; });
            after(reclaim_notice, [this] { fail_engine(0, outage); });
        });
        break;
    case fault_kind::late_reports:
        at(fault_time(), [this] { reports_late_ = true; });
        break;
    case fault_kind::cache_gaps:
        at(fault_time(), [this] { cache_gaps_ = true; });
        break;
    case fault_kind::entry_lost:
        at(fault_time(), [this] { entries_[0]->alive = false; });
        break;
    case fault_kind::domain_cut:
        at(fault_time(), [this] {
            for (auto& agent : agents_)
                if (agent->failure_domain == entries_[0]->failure_domain)
                    agent->unreachable_until = now_ + outage;
            entries_[0]->alive = false;
            after(outage, [this] { entries_[0]->alive = true; });
        });
        break;
    case fault_kind::poison:
        plan_poison();
        break;
    }
}

void simulation::plan_poison()
{
    for (std::size_t id = 0; id < requests_.size(); ++id) {
        request& incoming = requests_[id];
        if (epoch + from_s(incoming.arrival_s) < fault_time())
            continue;
        incoming.output_tokens = std::max(incoming.output_tokens, poison_token);
        callers_[id].poison = true;
        return;
    }
}

void simulation::arrive(std::size_t id)
{
    caller_state& caller = callers_[id];
    caller.arrival = now_;
    caller.deadline =
        now_ + (settings_.no_deadlines
                    ? duration(24h)
                    : from_s(settings_.tested_deployment.deadline_s));
    if (is_measured(caller)) {
        ++measures_.callers;
        ++measures_.team_requests[requests_[id].team];
    }
    if (!settings_.no_deadlines)
        at(caller.deadline, [this, id] { give_up(id); });
    caller.entry = pick_entry();
    caller.last_request = now_;
    entries_[caller.entry]->retries().record_request(
        settings_.tested_deployment.teams[requests_[id].team].name);
    route(id);
}

std::size_t simulation::pick_entry()
{
    std::size_t chosen = random_() % entries_.size();
    while (!entries_[chosen]->alive)
        chosen = (chosen + 1) % entries_.size();
    return chosen;
}

route_request simulation::request_of(std::size_t id) const
{
    const request& incoming = requests_[id];
    const caller_state& caller = callers_[id];
    route_request result;
    result.service = settings_.tested_deployment.service;
    result.team = settings_.tested_deployment.teams[incoming.team].name;
    result.prompt_tokens = incoming.prompt_tokens;
    result.prefix_blocks = incoming.prefix_blocks;
    result.suspect = caller.suspect;
    result.fingerprint = id + 1;
    result.excluded = caller.excluded;
    result.own_failure_domain = entries_[caller.entry]->failure_domain;
    result.goal = settings_.tested_deployment.goal;
    return result;
}

std::vector<candidate> simulation::candidates_of(const bench_entry&) const
{
    std::vector<candidate> result;
    for (std::size_t i = 0; i < agents_.size(); ++i) {
        if (!listed_[i] || agents_[i]->unreachable_until > now_)
            continue;
        auto& each = result.emplace_back();
        each.upstream = agents_[i]->name;
        each.failure_domain = agents_[i]->failure_domain;
        each.incarnation = 1;
        each.hash = i + 1;
    }
    return result;
}

void simulation::route(std::size_t id)
{
    caller_state& caller = callers_[id];
    bench_entry& entry = *entries_[caller.entry];
    const auto candidates = candidates_of(entry);
    const route_request incoming = request_of(id);
    const auto chosen = entry.choose(incoming, candidates, now_);
    if (!chosen) {
        refuse(id, chosen.error());
        return;
    }
    const std::string& name = candidates[*chosen].upstream;
    std::size_t upstream = 0;
    while (agents_[upstream]->name != name)
        ++upstream;
    caller.current_phase = caller_state::phase::dispatched;
    caller.upstream = upstream;
    entry.router().record_dispatch(name, incoming, now_);
    after(from_s(settings_.tested_deployment.one_way_ms / 1000),
          [this, id, upstream] { deliver(id, upstream); });
}

void simulation::deliver(std::size_t id, std::size_t upstream)
{
    caller_state& caller = callers_[id];
    if (caller.current_phase != caller_state::phase::dispatched ||
        caller.upstream != upstream)
        return;
    bench_agent& agent = *agents_[upstream];
    if (!agent.alive ||
        (agent.leaving && settings_.tested_policy.uses_cyclamenrun())) {
        retry_elsewhere(id, std::nullopt);
        return;
    }
    const auto accepted =
        agent.submit(id, caller.deadline, caller.suspect, now_);
    if (!accepted) {
        retry_elsewhere(id, accepted.error());
        return;
    }
    step(upstream);
}

void simulation::retry_elsewhere(std::size_t id,
                                 const std::optional<refusal>& why)
{
    caller_state& caller = callers_[id];
    bench_entry& entry = *entries_[caller.entry];
    entry.router().record_completion(agents_[caller.upstream]->name, now_);
    caller.excluded.push_back(agents_[caller.upstream]->name);
    caller.current_phase = caller_state::phase::not_dispatched;
    caller.upstream = SIZE_MAX;
    const std::string& team =
        settings_.tested_deployment.teams[requests_[id].team].name;
    if (caller.excluded.size() < max_upstreams_tried &&
        entry.retries().try_retry(team)) {
        route(id);
        return;
    }
    refuse(id, why.value_or(not_run(refusal_reason::no_upstream, "", 1s)));
}

void simulation::refuse(std::size_t id, const refusal& why)
{
    caller_state& caller = callers_[id];
    caller.current_phase = caller_state::phase::not_dispatched;
    caller.excluded.clear();
    if (is_measured(caller)) {
        ++measures_.refusals;
        measures_.refusal_ms.add(1000 * in_s(now_ - caller.last_request) +
                                 settings_.tested_deployment.one_way_ms);
    }
    const duration wait = why.retry_after.value_or(1s);
    if (caller.retries_made >= max_caller_retries ||
        now_ + wait >= caller.deadline) {
        if (is_measured(caller))
            ++measures_.finally_refused;
        end_unanswered(id);
        return;
    }
    ++caller.retries_made;
    after(wait, [this, id] {
        caller_state& returning = callers_[id];
        if (returning.current_phase != caller_state::phase::not_dispatched)
            return;
        returning.last_request = now_;
        returning.entry = pick_entry();
        route(id);
    });
}

void simulation::give_up(std::size_t id)
{
    caller_state& caller = callers_[id];
    if (caller.current_phase == caller_state::phase::done)
        return;
    if (caller.current_phase == caller_state::phase::dispatched) {
        agents_[caller.upstream]->cancel(id, now_);
        entries_[caller.entry]->router().record_completion(
            agents_[caller.upstream]->name, now_);
    }
    if (is_measured(caller))
        ++measures_.gave_up;
    end_unanswered(id);
}

void simulation::end_unanswered(std::size_t id)
{
    caller_state& caller = callers_[id];
    caller.current_phase = caller_state::phase::done;
    if (!is_measured(caller))
        return;
    if (caller.delivered == 0)
        caller.stall_ms = 1000 * in_s(now_ - caller.arrival);
    measures_.stall_s += caller.stall_ms / 1000;
    measures_.stall_charged_s += settings_.tested_deployment.deadline_s;
}

void simulation::step(std::size_t upstream)
{
    bench_agent& agent = *agents_[upstream];
    if (agent.stepping || !agent.alive)
        return;
    agent.admit(now_);
    if (agent.engine().idle())
        return;
    agent.stepping = true;
    const double ms = agent.engine().begin_step_ms();
    count_preemptions(upstream);
    const std::uint64_t engine_incarnation = engine_incarnations_[upstream];
    after(from_s(ms / 1000), [this, upstream, engine_incarnation] {
        if (engine_incarnations_[upstream] == engine_incarnation)
            end_step(upstream);
    });
}

void simulation::count_preemptions(std::size_t upstream)
{
    const fake_engine& engine = agents_[upstream]->engine();
    auto& [preemptions, recomputed] = counted_preemptions_[upstream];
    if (in_window(now_)) {
        measures_.preemptions += engine.preemptions() - preemptions;
        measures_.recomputed_tokens += engine.recomputed_tokens() - recomputed;
    }
    preemptions = engine.preemptions();
    recomputed = engine.recomputed_tokens();
}

void simulation::end_step(std::size_t upstream)
{
    bench_agent& agent = *agents_[upstream];
    agent.stepping = false;
    const auto& result = agent.end_step(now_);
    if (in_window(now_))
        measures_.output_tokens += result.tokens.size();
    for (const auto id : result.tokens)
        handle_token(id);
    for (const auto id : result.finished)
        answered(id);
    report_cache_events(upstream);
    for (const auto id : result.tokens) {
        if (!callers_[id].poison || callers_[id].delivered != poison_token)
            continue;
        fail_engine(upstream, crash_outage);
        return;
    }
    step(upstream);
}

void simulation::handle_token(std::size_t id)
{
    caller_state& caller = callers_[id];
    const time_point received_at =
        std::max(now_, agents_[caller.upstream]->unreachable_until);
    ++caller.delivered;
    const time_point previous = std::exchange(caller.last_token, received_at);
    if (!is_measured(caller))
        return;
    ++measures_.team_tokens[requests_[id].team];
    if (caller.delivered == 1) {
        const double wait = 1000 * in_s(received_at - caller.arrival);
        caller.stall_ms = wait;
        measures_.first_token_ms.add(wait);
        if (std::ranges::count(light_teams, requests_[id].team) > 0)
            measures_.light_team_first_token_ms.add(wait);
        return;
    }
    const double gap = 1000 * in_s(received_at - previous);
    measures_.between_tokens_ms.add(gap);
    caller.stall_ms += std::max(gap - max_unnoticed_gap_ms, 0.0);
}

void simulation::answered(std::size_t id)
{
    caller_state& caller = callers_[id];
    caller.current_phase = caller_state::phase::done;
    entries_[caller.entry]->router().record_completion(
        agents_[caller.upstream]->name, now_);
    if (in_window(now_)) {
        ++measures_.answers_in_window;
        measures_.tokens_in_window += caller.delivered;
    }
    if (!is_measured(caller))
        return;
    ++measures_.answered;
    ++measures_.team_answered[requests_[id].team];
    measures_.stall_s += caller.stall_ms / 1000;
    measures_.stall_answered_s += caller.stall_ms / 1000;
    measures_.stall_charged_s += caller.stall_ms / 1000;
}

void simulation::report_cache_events(std::size_t upstream)
{
    if (!settings_.tested_policy.uses_cyclamenrun())
        return;
    const auto& result = agents_[upstream]->engine().last_step();
    for (const auto& happened : result.cache_events) {
        const double gap = cache_gaps_ ? cache_gap_in_fault : cache_gap;
        if (std::bernoulli_distribution(gap)(random_))
            continue;
        after(cache_event_lag, [this, upstream, happened] {
            for (auto& entry : entries_) {
                const std::string& name = agents_[upstream]->name;
                if (happened.stored)
                    entry->router().record_cached(name, {&happened.block, 1});
                else
                    entry->router().record_eviction(name, happened.block);
            }
        });
    }
}

void simulation::fail_engine(std::size_t upstream, duration outage_duration)
{
    bench_agent& agent = *agents_[upstream];
    ++measures_.engine_losses;
    ++engine_incarnations_[upstream];
    agent.alive = false;
    agent.stepping = false;
    agent.fail_engine();
    for (std::size_t id = 0; id < callers_.size(); ++id)
        if (callers_[id].current_phase == caller_state::phase::dispatched &&
            callers_[id].upstream == upstream)
            handle_engine_loss(id);
    after(vm_list_lag, [this, upstream] { listed_[upstream] = false; });
    after(outage_duration, [this, upstream] {
        agents_[upstream]->alive = true;
        agents_[upstream]->leaving = false;
        listed_[upstream] = true;
    });
}

void simulation::handle_engine_loss(std::size_t id)
{
    caller_state& caller = callers_[id];
    agents_[caller.upstream]->cancel(id, now_);
    ++caller.losses;
    if (caller.delivered == 0) {
        retry_elsewhere(id, std::nullopt);
        return;
    }
    entries_[caller.entry]->router().record_completion(
        agents_[caller.upstream]->name, now_);
    if (caller.poison && caller.losses < max_poison_attempts) {
        resend_poison(id);
        return;
    }
    if (is_measured(caller))
        ++measures_.cut_short;
    end_unanswered(id);
}

void simulation::resend_poison(std::size_t id)
{
    caller_state& caller = callers_[id];
    // cyclamenrun marks requests that ran on a lost engine and refuses them
    // after two losses.
    caller.suspect = settings_.tested_policy.uses_cyclamenrun();
    caller.current_phase = caller_state::phase::not_dispatched;
    caller.delivered = 0;
    if (settings_.tested_policy.uses_cyclamenrun() && caller.losses >= 2) {
        end_unanswered(id);
        return;
    }
    after(1s, [this, id] {
        if (callers_[id].current_phase == caller_state::phase::not_dispatched)
            route(id);
    });
}

} // namespace

trial_measures run_trial(const trial_settings& settings)
{
    return simulation(settings).run();
}

double measured_capacity(const deployment& deployment,
                         const engine_settings& engine,
                         const std::vector<length_pair>& lengths)
{
    // Higher than the capacity of any deployment.
    constexpr double overload_rps_per_engine = 10;
    constexpr std::uint64_t seeds = 3;
    constexpr std::uint64_t first_seed = 900'001;
    trial_settings settings;
    settings.tested_deployment = deployment;
    settings.engine = engine;
    settings.lengths = lengths;
    settings.tested_policy.kind = policy_kind::round_robin;
    settings.no_deadlines = true;
    settings.requests_per_second =
        overload_rps_per_engine * static_cast<double>(deployment.engines);
    double answers = 0;
    for (std::uint64_t i = 0; i < seeds; ++i) {
        settings.seed = first_seed + i;
        const trial_measures measures = run_trial(settings);
        answers +=
            static_cast<double>(measures.answers_in_window) / measures.window_s;
    }
    return answers / static_cast<double>(seeds);
}

} // namespace cyclamenrun::bench

#include "placement.hpp"
#include "start_queue.hpp"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace cyclamenrun
{
namespace
{

// Simulates a small fleet in fixed time steps: 25 gateways and 46 engines. A
// sixth of the engines is removed every 3.3 s and comes back empty after 4 s.

constexpr int step_ms = 10;
constexpr int engines = 46;
constexpr int gateways = 25;
constexpr double memory_tokens = 21856;
constexpr double prefill_tokens_per_ms = 7;
constexpr double arrivals_per_s = 75;
constexpr int load_age_ms = 200;
constexpr int poll_ms = 100;
constexpr int objective_ms = 1500;
constexpr int duration_ms = 30000;
/** Callers disconnect if nothing has arrived by then. */
constexpr int caller_timeout_ms = 4 * objective_ms;
constexpr std::uint64_t normal_team_count = 20;
const std::string flooding_team = "flood";
const time_point epoch{std::chrono::hours(1)};

time_point at(int ms)
{
    return epoch + milliseconds(ms);
}

struct generation {
    int arrived_ms = 0;
    double prompt = 0;
    double output = 0;
    double prefill_left = 0;
    double generated = 0;
    std::string id;
    std::string team;
};

/** Results of a team's generations. */
struct team_result {
    int in_time = 0;
    int late = 0;
    int disconnected = 0; ///< callers that disconnected before the start

    int started() const { return in_time + late; }
    double late_share() const
    {
        return static_cast<double>(late + disconnected) /
               std::max(1, started() + disconnected);
    }
};

/**
 * Prefills one prompt at a time; each running generation makes a token per
 * step.
 */
struct engine {
    std::deque<generation> queue; ///< the first is prefilled if its memory fits
    bool prefilling = false;
    std::vector<generation> running;
    int back_at_ms = 0; ///< the engine is removed until then

    double memory_used() const
    {
        double sum = prefilling ? queue.front().prompt : 0;
        for (const auto& each : running)
            sum += each.prompt + each.generated;
        return sum;
    }

    void step(int now, std::map<std::string, team_result>& results)
    {
        if (!prefilling && !queue.empty())
            prefilling = memory_used() + queue.front().prompt <= memory_tokens;
        for (auto& each : running)
            each.generated += 1;
        std::erase_if(running, [](const generation& each) {
            return each.generated >= each.output;
        });
        if (!prefilling)
            return;
        auto& head = queue.front();
        head.prefill_left -= prefill_tokens_per_ms * step_ms;
        if (head.prefill_left > 0)
            return;
        auto& result = results[head.team];
        ++(now - head.arrived_ms <= objective_ms ? result.in_time
                                                 : result.late);
        running.push_back(head);
        queue.pop_front();
        prefilling = false;
    }

    engine_status status() const
    {
        engine_status result;
        result.starting = prefilling ? 1 : 0;
        result.running =
            static_cast<std::uint32_t>(running.size()) + result.starting;
        result.queued =
            static_cast<std::uint32_t>(queue.size()) - result.starting;
        result.memory_used = static_cast<std::uint64_t>(memory_used());
        result.memory_total = static_cast<std::uint64_t>(memory_tokens);
        for (const auto& each : running)
            result.generations.push_back(
                {each.id,
                 static_cast<std::uint64_t>(each.prompt + each.generated)});
        return result;
    }
};

class fleet
{
public:
    explicit fleet(std::uint64_t seed) : random(seed) {}
    virtual ~fleet() = default;
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    /** Runs the fleet; returns the share of late or missing first parts. */
    double run(int until_ms = duration_ms)
    {
        for (now_ms = 0; now_ms < until_ms; now_ms += step_ms) {
            if (now_ms % 3300 == 0)
                remove_engines();
            std::poisson_distribution<int> arrivals(arrivals_per_s * step_ms /
                                                    1000);
            for (int i = arrivals(random); i > 0; --i)
                arrive(draw_generation(
                    std::to_string(random() % normal_team_count)));
            std::poisson_distribution<int> floods(flood_per_s_ * step_ms /
                                                  1000);
            for (int i = flood_per_s_ > 0 ? floods(random) : 0; i > 0; --i)
                arrive(draw_generation(flooding_team));
            make_decisions();
            for (auto& each : upstreams)
                each.step(now_ms, results_);
        }
        return total().late_share();
    }
    int started() const { return total().started(); }
    /** The result of all teams but the flooding one. */
    team_result other_teams() const { return total(flooding_team); }

    /** Adds a team that sends `per_s` requests per second; 0: none. */
    void add_flooding_team(double per_s) { flood_per_s_ = per_s; }

protected:
    virtual void arrive(generation&& request) = 0;
    virtual void make_decisions() {}
    virtual void engine_removed(int) {}

    void record_disconnected(const generation& ended)
    {
        ++results_[ended.team].disconnected;
    }
    bool is_removed(int index) const
    {
        return upstreams[index].back_at_ms > now_ms;
    }
    int draw_gateway() { return static_cast<int>(random() % gateways); }

    int now_ms = 0;
    std::mt19937_64 random;
    std::vector<engine> upstreams{engines};

private:
    team_result total(const std::string& except = {}) const
    {
        team_result sum;
        for (const auto& [team, result] : results_) {
            if (team == except)
                continue;
            sum.in_time += result.in_time;
            sum.late += result.late;
            sum.disconnected += result.disconnected;
        }
        return sum;
    }

    generation draw_generation(const std::string& team)
    {
        generation drawn;
        drawn.team = team;
        drawn.arrived_ms = now_ms;
        drawn.prompt = std::uniform_real_distribution<>(1000, 5000)(random);
        drawn.prefill_left = drawn.prompt;
        // Half of the outputs have a few tokens, the others hundreds.
        std::exponential_distribution<> length(1.0 / 600);
        drawn.output =
            random() % 2 == 0 ? 10 : std::min(1768.0, length(random));
        drawn.id = std::to_string(drawn_++);
        return drawn;
    }

    void remove_engines()
    {
        for (int i = 0; i < engines / 6; ++i) {
            const int index = static_cast<int>(random() % engines);
            upstreams[index] = engine{};
            upstreams[index].back_at_ms = now_ms + 4000;
            engine_removed(index);
        }
    }

    std::map<std::string, team_result> results_;
    double flood_per_s_ = 0;
    int drawn_ = 0;
};

/** Each gateway chooses by old load reports and its own dispatches. */
class gateway_choice_fleet : public fleet
{
public:
    using fleet::fleet;

protected:
    void arrive(generation&& request) override
    {
        const int gateway = draw_gateway();
        std::vector<placement_candidate> places;
        std::vector<int> indexes;
        for (int i = 0; i < engines; ++i) {
            if (is_removed(i))
                continue;
            auto place = reported_[i];
            for (const auto& own : own_[gateway][i]) {
                place.wait += own.prompt / prefill_tokens_per_ms / objective_ms;
                place.memory_taken += own.prompt / memory_tokens;
            }
            place.memory_taken += request.prompt / memory_tokens;
            places.push_back(place);
            indexes.push_back(i);
        }
        const auto chosen = choose_placement(places, random);
        const int index = indexes[*chosen];
        own_[gateway][index].push_back(request);
        upstreams[index].queue.push_back(std::move(request));
    }

    void make_decisions() override
    {
        if (now_ms % load_age_ms != 0)
            return;
        for (int i = 0; i < engines; ++i) {
            double prefill_left = 0;
            for (const auto& each : upstreams[i].queue)
                prefill_left += each.prefill_left;
            reported_[i].wait =
                prefill_left / prefill_tokens_per_ms / objective_ms;
            reported_[i].slots_taken =
                static_cast<double>(upstreams[i].running.size()) / 24;
            reported_[i].memory_taken =
                (upstreams[i].memory_used() + prefill_left) / memory_tokens;
        }
        own_.assign(gateways, std::vector<std::vector<generation>>(engines));
    }

private:
    std::vector<placement_candidate> reported_{engines};
    /** Dispatches since the last load reports, by gateway and engine. */
    std::vector<std::vector<std::vector<generation>>> own_{
        gateways, std::vector<std::vector<generation>>(engines)};
};

/** Generations wait at several engines and start at the first with room. */
class start_queue_fleet : public fleet
{
public:
    explicit start_queue_fleet(std::uint64_t seed, bool knows_teams = true)
        : fleet(seed), knows_teams_(knows_teams)
    {
        for (auto& each : queues_) {
            each = std::make_unique<start_queue>();
            each->set_slots(24);
        }
    }

protected:
    /** A generation that has not started, and the engines queried for it. */
    struct search {
        generation request;
        std::vector<int> queried;
    };

    void arrive(generation&& request) override
    {
        searches_.push_back({std::move(request), {}});
        request_more(searches_.back());
    }

    void engine_removed(int index) override
    {
        queues_[index] = std::make_unique<start_queue>();
        queues_[index]->set_slots(24);
    }

    void make_decisions() override
    {
        for (int i = 0; i < engines; ++i) {
            if (now_ms % poll_ms == 0 && !is_removed(i))
                queues_[i]->update_status(upstreams[i].status(), false,
                                          at(now_ms));
            for (const auto& granted : queues_[i]->grant_starts(at(now_ms)))
                start(i, granted.id);
        }
        std::erase_if(searches_, [&](const search& each) {
            const bool times_out =
                now_ms - each.request.arrived_ms >= caller_timeout_ms;
            if (times_out)
                disconnect(each);
            return times_out;
        });
        for (auto& each : searches_) {
            if ((now_ms - each.request.arrived_ms) % 150 == 140)
                request_more(each);
        }
    }

private:
    /** Queries up to eight more engines and repeats all start requests. */
    void request_more(search& current)
    {
        for (int i = 0; i < 8 && current.queried.size() < 32; ++i) {
            const int index = static_cast<int>(random() % engines);
            if (!is_removed(index))
                current.queried.push_back(index);
        }
        start_request outgoing;
        outgoing.id = current.request.id;
        outgoing.team = knows_teams_ ? current.request.team : std::string();
        outgoing.prompt_tokens =
            static_cast<std::uint64_t>(current.request.prompt);
        outgoing.output_tokens = current.request.output > 10 ? 600 : 10;
        outgoing.first_due = at(current.request.arrived_ms + objective_ms);
        for (const int index : current.queried)
            queues_[index]->request_start(outgoing, at(now_ms));
    }

    void disconnect(const search& ended)
    {
        for (const int index : ended.queried)
            queues_[index]->end(ended.request.id);
        record_disconnected(ended.request);
    }

    void start(int index, const std::string& id)
    {
        const auto found = std::find_if(
            searches_.begin(), searches_.end(),
            [&](const search& each) { return each.request.id == id; });
        if (found == searches_.end()) {
            queues_[index]->end(id);
            return;
        }
        for (const int other : found->queried) {
            if (other != index)
                queues_[other]->end(id);
        }
        upstreams[index].queue.push_back(std::move(found->request));
        searches_.erase(found);
    }

    std::vector<std::unique_ptr<start_queue>> queues_{engines};
    std::deque<search> searches_;
    bool knows_teams_;
};

// Guards against thundering herds: with load reports that are up to 200 ms
// old, all gateways send to the few engines that were empty in the reports, and
// callers wait although the fleet has room. With start requests at several
// engines, few first parts are late.
TEST(thundering_herds, delay_few_callers_where_engines_grant_starts)
{
    double late_by_reports = 0;
    double late_by_requests = 0;
    for (const std::uint64_t seed : {1, 2, 3}) {
        gateway_choice_fleet choosing(seed);
        late_by_reports += choosing.run() / 3;
        start_queue_fleet queueing(seed);
        late_by_requests += queueing.run() / 3;
        EXPECT_GE(queueing.started(), choosing.started());
    }
    RecordProperty("late_by_load_reports", std::to_string(late_by_reports));
    RecordProperty("late_by_start_requests", std::to_string(late_by_requests));
    EXPECT_GT(late_by_reports, 0.05);
    EXPECT_LT(late_by_requests, late_by_reports / 4);
}

// Guards against a team that floods: one of 21 teams sends as much as all
// others together, and the engines are full. If starts were granted in order of
// arrival, the requests of the other teams would wait behind the flood and be
// late.
TEST(thundering_herds, a_flooding_team_does_not_delay_others)
{
    constexpr double flood_per_s = 75;
    constexpr int flood_ms = 9000;
    start_queue_fleet without_teams(1, false);
    without_teams.add_flooding_team(flood_per_s);
    without_teams.run(flood_ms);
    const double in_order = without_teams.other_teams().late_share();
    start_queue_fleet with_teams(1);
    with_teams.add_flooding_team(flood_per_s);
    with_teams.run(flood_ms);
    const double shared = with_teams.other_teams().late_share();
    RecordProperty("late_in_order", std::to_string(in_order));
    RecordProperty("late_shared", std::to_string(shared));
    EXPECT_GT(in_order, 0.05);
    EXPECT_LT(shared, in_order / 2);
}

} // namespace
} // namespace cyclamenrun

#ifndef CYCLAMENRUN_TESTS_SLOW_ENGINE_FLEET_HPP
#define CYCLAMENRUN_TESTS_SLOW_ENGINE_FLEET_HPP

#include "placement.hpp"
#include "start_queue.hpp"

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenrun::testing_support
{

/**
 * Small fleet of engines with monitors, simulated in steps of a millisecond.
 * Some engines are slower, and each becomes slow for moments.
 */
struct slow_fleet_settings {
    int engines = 41;
    int slow_engines = 14; ///< steadily slower by `slow_engine_factor`
    double slow_engine_factor = 1.3;
    double slow_moment_factor = 2.5;
    int slow_moment_ms = 600;
    double slow_moments_every_ms = 12000; ///< for each engine; 0: none
    double long_per_s = 12;
    double short_per_s = 30;
    milliseconds gap_target{180}; ///< that gateways tell the monitors
    int duration_ms = 80000;
    int counted_from_ms = 20000; ///< earlier arrivals are not counted
};

struct slow_fleet_results {
    int long_streams = 0;
    int long_with_late_pause = 0;
    int first_parts = 0;
    int first_parts_in_time = 0;
    /** Engine of each generation, in the order of the starts. */
    std::vector<std::pair<std::string, std::size_t>> starts;

    double late_pause_share() const
    {
        return static_cast<double>(long_with_late_pause) /
               std::max(1, long_streams);
    }
    double in_time_share() const
    {
        return static_cast<double>(first_parts_in_time) /
               std::max(1, first_parts);
    }
};

class slow_engine_fleet
{
public:
    slow_engine_fleet(const slow_fleet_settings& settings, std::uint64_t seed)
        : settings_(settings), random_(seed), moments_(seed + 1),
          engines_(settings.engines)
    {
        for (int i = 0; i < settings.engines; ++i) {
            auto& each = engines_[i];
            each.factor =
                i < settings.slow_engines ? settings.slow_engine_factor : 1;
            each.slow_from_ms = next_slow_moment(0);
            each.starts.set_slots(slots);
        }
    }

    slow_fleet_results run()
    {
        for (now_ms_ = 0; now_ms_ < settings_.duration_ms; ++now_ms_) {
            arrive(settings_.long_per_s, 3000, 188, 1800);
            arrive(settings_.short_per_s, 2200, 3, 1500);
            repeat_searches();
            for (std::size_t i = 0; i < engines_.size(); ++i)
                advance(i);
        }
        return std::move(results_);
    }

private:
    static constexpr unsigned slots = 24;
    static constexpr std::uint64_t memory_tokens = 21856;
    static constexpr int tokens_per_event = 4;
    static constexpr int chunk_tokens = 112;
    static constexpr int target_ms = 180;

    struct generation {
        std::string id;
        int arrived_ms = 0;
        int objective_ms = 0;
        std::uint64_t prompt = 0;
        int events = 0;
        int prefilled = 0;
        int generated = 0;
        int last_event_ms = -1;
        bool paused_late = false;
    };

    struct engine {
        double factor = 1;
        int slow_from_ms = 0;
        double step_ends_ms = 0;
        std::deque<generation> queue;
        std::vector<generation> running;
        bool prefilling = false; ///< in the current step
        start_queue starts;
        std::uint64_t relayed_events = 0;
        int relayed_ms = 0;
    };

    struct search {
        generation wanted;
        std::vector<std::size_t> asked;
        int next_round_ms = 0;
        bool begun = false;
    };

    time_point at(int ms) const
    {
        return time_point{std::chrono::hours(1)} + milliseconds(ms);
    }

    int next_slow_moment(int from_ms)
    {
        if (settings_.slow_moments_every_ms <= 0)
            return settings_.duration_ms;
        std::exponential_distribution<double> wait(
            1 / settings_.slow_moments_every_ms);
        return from_ms + static_cast<int>(wait(moments_));
    }

    void arrive(double per_s, std::uint64_t prompt, int events, int objective)
    {
        std::poisson_distribution<int> arrivals(per_s / 1000);
        for (int i = arrivals(random_); i > 0; --i) {
            search each;
            each.wanted.id = std::to_string(++last_id_);
            each.wanted.arrived_ms = now_ms_;
            each.wanted.objective_ms = objective;
            each.wanted.prompt = prompt;
            each.wanted.events = events;
            each.next_round_ms = now_ms_;
            searches_.push_back(std::move(each));
        }
    }

    start_request request_of(const generation& wanted) const
    {
        start_request request;
        request.id = wanted.id;
        request.prompt_tokens = wanted.prompt;
        request.output_tokens =
            static_cast<std::uint64_t>(wanted.events) * tokens_per_event;
        request.first_due = at(wanted.arrived_ms + wanted.objective_ms);
        request.gap_target = settings_.gap_target;
        return request;
    }

    /** Requests further engines of a search, as start_search does. */
    void repeat_searches()
    {
        for (auto& each : searches_) {
            if (!each.begun && each.next_round_ms <= now_ms_)
                ask(each);
        }
        std::erase_if(searches_, [](const search& each) { return each.begun; });
    }

    void ask(search& each)
    {
        each.next_round_ms = now_ms_ + 150;
        for (int i = 0; i < 8 && each.asked.size() < 32; ++i) {
            const auto drawn = random_() % engines_.size();
            if (std::find(each.asked.begin(), each.asked.end(), drawn) ==
                each.asked.end())
                each.asked.push_back(drawn);
        }
        const auto request = request_of(each.wanted);
        std::vector<std::size_t> granted;
        for (const auto index : each.asked) {
            auto& starts = engines_[index].starts;
            starts.request_start(request, at(now_ms_));
            grant(index, each.wanted.id);
            if (starts.is_granted(request.id))
                granted.push_back(index);
        }
        if (granted.empty())
            return;
        const auto best = *std::min_element(
            granted.begin(), granted.end(), [&](auto left, auto right) {
                return cost(left, request) < cost(right, request);
            });
        begin(each, best);
    }

    double cost(std::size_t index, const start_request& request) const
    {
        const auto& starts = engines_[index].starts;
        const auto occupancy = starts.load_estimate().occupancy();
        placement_candidate candidate;
        candidate.slots_taken =
            static_cast<double>(occupancy.slots_taken) / slots;
        candidate.memory_taken = static_cast<double>(occupancy.memory_taken +
                                                     request.output_tokens) /
                                 static_cast<double>(memory_tokens);
        candidate.late_streams =
            starts.streams_made_late(request) + starts.stream_lateness(request);
        return placement_cost(candidate);
    }

    /** Grants starts; those of other searches than `own` begin at once. */
    void grant(std::size_t index, const std::string& own)
    {
        for (const auto& start :
             engines_[index].starts.grant_starts(at(now_ms_))) {
            if (start.id == own)
                continue;
            const auto found = std::find_if(
                searches_.begin(), searches_.end(),
                [&](const search& each) { return each.wanted.id == start.id; });
            if (found != searches_.end() && !found->begun)
                begin(*found, index);
        }
    }

    void begin(search& each, std::size_t index)
    {
        engines_[index].queue.push_back(each.wanted);
        results_.starts.emplace_back(each.wanted.id, index);
        for (const auto other : each.asked) {
            if (other != index)
                engines_[other].starts.end(each.wanted.id);
        }
        each.begun = true;
    }

    void advance(std::size_t index)
    {
        auto& each = engines_[index];
        if (now_ms_ >= each.slow_from_ms + settings_.slow_moment_ms)
            each.slow_from_ms = next_slow_moment(now_ms_);
        while (now_ms_ >= each.step_ends_ms)
            step(each);
        // Each monitor polls at times of its own.
        if (now_ms_ % 100 == static_cast<int>(index) % 100)
            poll(index);
    }

    /** Ends the current step of an engine and begins the next one. */
    void step(engine& each)
    {
        for (auto& running : each.running)
            make_token(each, running);
        std::erase_if(each.running, [&](const generation& running) {
            return is_over(running);
        });
        if (each.prefilling) {
            auto& head = each.queue.front();
            head.prefilled += chunk_tokens;
            if (head.prefilled >= static_cast<int>(head.prompt)) {
                each.running.push_back(head);
                each.queue.pop_front();
            }
        }
        each.prefilling = !each.queue.empty();
        const bool idle = !each.prefilling && each.running.empty();
        const bool slow = now_ms_ >= each.slow_from_ms;
        const double ms = (each.prefilling ? 15 : 7) +
                          0.12 * static_cast<double>(each.running.size());
        each.step_ends_ms =
            idle ? now_ms_ + 1
                 : std::max<double>(each.step_ends_ms, now_ms_ - 1) +
                       ms * each.factor *
                           (slow ? settings_.slow_moment_factor : 1);
    }

    void make_token(engine& each, generation& running)
    {
        if (++running.generated % tokens_per_event != 0)
            return;
        if (running.last_event_ms >= 0) {
            const int pause = now_ms_ - running.last_event_ms;
            running.paused_late = running.paused_late || pause > target_ms;
            ++each.relayed_events;
            each.relayed_ms += pause;
        } else if (running.arrived_ms >= settings_.counted_from_ms) {
            ++results_.first_parts;
            if (now_ms_ - running.arrived_ms <= running.objective_ms)
                ++results_.first_parts_in_time;
        }
        running.last_event_ms = now_ms_;
    }

    bool is_over(const generation& running)
    {
        if (running.generated < running.events * tokens_per_event)
            return false;
        if (running.arrived_ms >= settings_.counted_from_ms &&
            running.events > 100) {
            ++results_.long_streams;
            results_.long_with_late_pause += running.paused_late ? 1 : 0;
        }
        return true;
    }

    void poll(std::size_t index)
    {
        auto& each = engines_[index];
        engine_status status;
        status.memory_total = memory_tokens;
        status.starting = each.prefilling ? 1 : 0;
        status.running =
            static_cast<std::uint32_t>(each.running.size()) + status.starting;
        status.queued =
            static_cast<std::uint32_t>(each.queue.size()) - status.starting;
        if (status.queued > 0)
            status.next_prompt_tokens =
                static_cast<std::uint32_t>(each.queue.back().prompt);
        if (each.prefilling)
            status.memory_used += each.queue.front().prompt;
        for (const auto& running : each.running) {
            const auto tokens =
                running.prompt + static_cast<std::uint64_t>(running.generated);
            status.generations.push_back({running.id, tokens});
            status.memory_used += tokens;
        }
        if (now_ms_ % 1000 < 100) {
            each.starts.record_events(
                std::exchange(each.relayed_events, 0),
                milliseconds(std::exchange(each.relayed_ms, 0)));
        }
        each.starts.update_status(status, false, at(now_ms_));
        grant(index, {});
    }

    slow_fleet_settings settings_;
    int now_ms_ = 0;
    std::uint64_t last_id_ = 0;
    std::mt19937_64 random_;  ///< of arrivals and decisions
    std::mt19937_64 moments_; ///< of slow moments
    std::vector<engine> engines_;
    std::vector<search> searches_;
    slow_fleet_results results_;
};

} // namespace cyclamenrun::testing_support

#endif // CYCLAMENRUN_TESTS_SLOW_ENGINE_FLEET_HPP

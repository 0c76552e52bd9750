#ifndef CYCLAMENRUN_TESTS_PAUSED_LOOPS_HPP
#define CYCLAMENRUN_TESTS_PAUSED_LOOPS_HPP

#include "link_reactor.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace cyclamenrun::testing_support
{

/**
 * Event loops on a virtual clock, run in turn by the test's thread. Each one
 * can be paused, as a process is by SIGSTOP: it handles nothing until its pause
 * ends, while its sockets still receive.
 */
class paused_loops
{
public:
    using loop = std::shared_ptr<link_reactor>;

    loop add()
    {
        loops_.push_back(
            {std::make_shared<link_reactor>([this] { return now_; }), {}});
        return loops_.back().reactor;
    }

    time_point now() const { return now_; }

    /** Pauses a loop from `from` on. */
    void pause(const loop& paused, time_point from, duration length)
    {
        for (auto& each : loops_)
            if (each.reactor == paused)
                each.pauses[from] = from + length;
    }

    /** Runs all loops until this time. */
    void run_until(time_point end)
    {
        while (now_ < end) {
            run_iteration();
            now_ = std::min(next_time(), end);
        }
        run_iteration();
    }

    /** Ends the loops, so that their objects are released. */
    void stop()
    {
        for (auto& each : loops_) {
            each.reactor->stop();
            each.reactor->run();
        }
    }

private:
    /** A datagram and its answer arrive within this time. */
    static constexpr milliseconds longest_step{5};
    static constexpr int rounds = 4;

    struct simulated_loop {
        loop reactor;
        std::map<time_point, time_point> pauses; ///< from, to
    };

    bool is_paused(const simulated_loop& tested) const
    {
        return std::any_of(
            tested.pauses.begin(), tested.pauses.end(), [&](const auto& pause) {
                return pause.first <= now_ && now_ < pause.second;
            });
    }

    void run_iteration()
    {
        for (int round = 0; round < rounds; ++round)
            for (auto& each : loops_)
                if (!is_paused(each))
                    each.reactor->step();
    }

    time_point next_time() const
    {
        auto next = now_ + longest_step;
        for (const auto& each : loops_) {
            const auto due = each.reactor->next_iteration();
            if (!is_paused(each) && due)
                next = std::min(next, *due);
        }
        return std::max(next, now_ + milliseconds(1));
    }

    time_point now_ = steady_now();
    std::vector<simulated_loop> loops_;
};

} // namespace cyclamenrun::testing_support

#endif // CYCLAMENRUN_TESTS_PAUSED_LOOPS_HPP

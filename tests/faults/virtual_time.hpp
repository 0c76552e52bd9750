#ifndef CYCLAMENRUN_TESTS_VIRTUAL_TIME_HPP
#define CYCLAMENRUN_TESTS_VIRTUAL_TIME_HPP

#include "clock.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace cyclamenrun::faults
{

/** A simulated clock that runs scheduled tasks in order, without waiting. */
class virtual_time
{
public:
    time_point now() const { return now_; }
    std::int64_t now_ms() const
    {
        return std::chrono::duration_cast<milliseconds>(now_ - start_).count();
    }

    void after(milliseconds delay, std::function<void()> task)
    {
        tasks_.emplace(std::pair(now_ + delay, ++count_), std::move(task));
    }

    /** Runs all tasks that are due by `end`, then sets the time to `end`. */
    void run_until(time_point end)
    {
        while (!tasks_.empty() && tasks_.begin()->first.first <= end) {
            const auto next = tasks_.begin();
            now_ = next->first.first;
            const auto task = std::move(next->second);
            tasks_.erase(next);
            task();
        }
        now_ = end;
    }

private:
    time_point start_{std::chrono::hours(1)};
    time_point now_ = start_;
    std::uint64_t count_ = 0;
    std::map<std::pair<time_point, std::uint64_t>, std::function<void()>>
        tasks_;
};

} // namespace cyclamenrun::faults

#endif // CYCLAMENRUN_TESTS_VIRTUAL_TIME_HPP

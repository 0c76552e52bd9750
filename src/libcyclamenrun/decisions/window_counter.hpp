#ifndef CYCLAMENRUN_WINDOW_COUNTER_HPP
#define CYCLAMENRUN_WINDOW_COUNTER_HPP

#include "clock.hpp"

#include <algorithm>
#include <array>
#include <cstdint>

namespace cyclamenrun
{

/**
 * Counts events in a sliding window of ten slots. Events older than the window
 * are not counted; all events of the last nine tenths of the window are.
 */
class window_counter
{
public:
    explicit window_counter(milliseconds window) : slot_(window / slots) {}

    void add(time_point now)
    {
        move_to(now);
        ++counts_.at(static_cast<std::size_t>(last_ % slots));
    }

    std::uint64_t count(time_point now)
    {
        move_to(now);
        std::uint64_t sum = 0;
        for (const auto count : counts_)
            sum += count;
        return sum;
    }

private:
    static constexpr std::int64_t slots = 10;

    void move_to(time_point now)
    {
        const auto slot = now.time_since_epoch() / slot_;
        if (slot - last_ >= slots)
            counts_.fill(0);
        else
            while (last_ < slot)
                counts_.at(static_cast<std::size_t>(++last_ % slots)) = 0;
        last_ = std::max<std::int64_t>(last_, slot);
    }

    duration slot_;
    std::int64_t last_ = 0;
    std::array<std::uint64_t, slots> counts_{};
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_WINDOW_COUNTER_HPP

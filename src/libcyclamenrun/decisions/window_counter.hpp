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
    explicit window_counter(milliseconds window)
        : slot_duration_(window / slot_count)
    {
    }

    void add(time_point now)
    {
        advance_to(now);
        ++counts_.at(static_cast<std::size_t>(latest_slot_ % slot_count));
    }

    std::uint64_t count(time_point now)
    {
        advance_to(now);
        std::uint64_t sum = 0;
        for (const auto count : counts_)
            sum += count;
        return sum;
    }

private:
    static constexpr std::int64_t slot_count = 10;

    void advance_to(time_point now)
    {
        const auto slot = now.time_since_epoch() / slot_duration_;
        if (slot - latest_slot_ >= slot_count)
            counts_.fill(0);
        else
            while (latest_slot_ < slot)
                counts_.at(
                    static_cast<std::size_t>(++latest_slot_ % slot_count)) = 0;
        latest_slot_ = std::max<std::int64_t>(latest_slot_, slot);
    }

    duration slot_duration_;
    std::int64_t latest_slot_ = 0;
    std::array<std::uint64_t, slot_count> counts_{};
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_WINDOW_COUNTER_HPP

#include "gateway_count_history.hpp"

#include <algorithm>

namespace cyclamenrun
{

namespace
{

/** Longer than a datagram is on its way, as a rule. */
constexpr milliseconds transit_time{100};

std::int64_t minute_of(boot_time time)
{
    return std::chrono::floor<std::chrono::minutes>(time.time_since_epoch())
        .count();
}

} // namespace

bool gateway_count_history::learn(const past_gateway_count& told, boot_time now)
{
    const auto number = minute_of(now - told.age);
    if (told.count > max_gateway_count || number <= minute_of(now) - size ||
        told.count <= largest_since(number))
        return false;
    record(told.count, now - told.age);
    return true;
}

void gateway_count_history::record(unsigned count, boot_time counted_at)
{
    const auto number = minute_of(counted_at);
    const auto place = (number % size + size) % size;
    auto& kept = minutes_.at(static_cast<std::size_t>(place));
    const bool is_newer = kept.count == 0 || number > kept.number;
    if (is_newer || (number == kept.number && count >= kept.count))
        kept = {number, count, counted_at};
}

unsigned gateway_count_history::largest_since(std::int64_t number) const
{
    unsigned largest = 0;
    for (const auto& each : minutes_)
        if (each.number >= number)
            largest = std::max(largest, each.count);
    return largest;
}

unsigned gateway_count_history::largest(boot_time now) const
{
    return largest_since(minute_of(now) - size + 1);
}

std::vector<past_gateway_count>
gateway_count_history::counts(boot_time now) const
{
    std::vector<past_gateway_count> told;
    for (const auto& each : minutes_) {
        const bool recent = each.number > minute_of(now) - size;
        if (!recent || each.count <= largest_since(each.number + 1))
            continue;
        const auto age = now - each.counted_at;
        told.push_back(
            {each.count, std::chrono::ceil<milliseconds>(age) + transit_time});
    }
    std::sort(told.begin(), told.end(),
              [](const auto& left, const auto& right) {
                  return left.count > right.count;
              });
    return told;
}

} // namespace cyclamenrun

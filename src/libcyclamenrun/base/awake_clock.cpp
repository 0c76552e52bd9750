#include "awake_clock.hpp"

#include <algorithm>

namespace cyclamenrun
{

namespace
{

constexpr int waits_per_timeout = 4;
constexpr milliseconds min_wait{5};
constexpr milliseconds max_wait{200};

} // namespace

void awake_clock::begin_wait(time_point now, time_point wake_at)
{
    advance(now, duration::zero());
    wake_at_ = wake_at;
}

void awake_clock::end_wait(time_point now)
{
    advance(now, std::max(wake_at_ - reported_at_, duration::zero()));
}

void awake_clock::advance(time_point now, duration expected)
{
    const duration passed = now - reported_at_ - tolerance;
    if (passed > expected)
        missed_ += passed - expected;
    reported_at_ = now;
}

duration awake_clock::longest_wait(duration left)
{
    const auto part =
        std::clamp<duration>(left / waits_per_timeout, min_wait, max_wait);
    return std::clamp(left, duration::zero(), part);
}

bool wait_awake(awake_clock& awake, const clock_function& clock,
                time_point deadline,
                const std::function<bool(milliseconds)>& wait)
{
    awake.begin_wait(clock(), {});
    while (awake.now() < deadline) {
        const auto part = std::chrono::ceil<milliseconds>(
            awake_clock::longest_wait(deadline - awake.now()));
        const auto now = clock();
        awake.begin_wait(now, now + part);
        const bool ended = wait(part);
        awake.end_wait(clock());
        if (ended)
            return true;
    }
    return false;
}

} // namespace cyclamenrun

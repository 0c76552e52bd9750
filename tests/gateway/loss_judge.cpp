#include "loss_judge.hpp"

#include <array>

namespace cyclamenrun::testing_support
{

namespace
{

/** Within it after its last byte, a request may cross the close. */
constexpr milliseconds crossing_time{200};
/** Requests sent later in a stop must not be passed on if they outlast it. */
constexpr milliseconds late_in_stop{3000};
/** In the order of the enum. */
constexpr std::array<std::string_view, 6> names{
    "lost",           "process_killed", "crossed_close",
    "outlasted_stop", "broken_off",     "past_deadline"};

bool outlasted_stop(const broken_request& request, const process_life& life)
{
    if (!life.stop_sent || !request.upstream_at_work)
        return false;
    constexpr int last_part = 6;
    const auto end = *life.stop_sent + life.grace;
    return request.sent <= *life.stop_sent + late_in_stop &&
           request.ended >= end - life.grace / last_part;
}

} // namespace

std::string_view name_of(loss_verdict verdict)
{
    return names.at(static_cast<std::size_t>(verdict));
}

loss_verdict judge_loss(const broken_request& request, const process_life& life)
{
    if (life.killed && request.ended >= *life.killed)
        return loss_verdict::process_killed;
    if (!request.reached_upstream &&
        request.ended < request.sent + crossing_time)
        return loss_verdict::crossed_close;
    if (request.upstream_broke_off)
        return loss_verdict::broken_off;
    if (request.ended >= request.deadline)
        return loss_verdict::past_deadline;
    if (outlasted_stop(request, life))
        return loss_verdict::outlasted_stop;
    return loss_verdict::lost;
}

} // namespace cyclamenrun::testing_support

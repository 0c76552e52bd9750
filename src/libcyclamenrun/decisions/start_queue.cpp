#include "start_queue.hpp"

#include <algorithm>
#include <tuple>

namespace cyclamenrun
{

namespace
{

/**
 * The next start is granted this long before the engine has read all earlier
 * prompts, so that the request arrives in time: a few milliseconds for the
 * network, the rest for variations of the reading speed.
 */
constexpr milliseconds lookahead{30};

std::uint64_t held_by(const std::map<std::string, std::uint64_t>& held,
                      const std::string& team)
{
    const auto found = held.find(team);
    return found == held.end() ? 0 : found->second;
}

} // namespace

void start_queue::take_view(const engine_view& view, bool leaving,
                            time_point now)
{
    leaving_ = leaving;
    outlook_.take_view(view, now);
}

void start_queue::ask(const start_request& wanted, time_point now)
{
    const auto found = std::find_if(
        waiting_.begin(), waiting_.end(),
        [&](const waiting_start& each) { return each.who.id == wanted.id; });
    if (found != waiting_.end())
        *found = {wanted, now};
    else if (!was_given(wanted.id) && waiting_.size() < most_waiting_starts)
        waiting_.push_back({wanted, now});
}

void start_queue::end(const std::string& id)
{
    std::erase_if(waiting_,
                  [&](const waiting_start& each) { return each.who.id == id; });
    outlook_.forget(id);
}

bool start_queue::is_late(const start_request& wanted, time_point now) const
{
    return now + outlook_.reading_time(wanted.prompt_tokens) > wanted.first_due;
}

void start_queue::sort(time_point now)
{
    const auto held = outlook_.memory_by_team();
    for (auto& each : waiting_) {
        each.late = is_late(each.who, now);
        each.team_holds = held_by(held, each.who.team);
    }
    std::stable_sort(waiting_.begin(), waiting_.end(),
                     [](const waiting_start& a, const waiting_start& b) {
                         return std::tie(a.late, a.team_holds,
                                         a.who.first_due) <
                                std::tie(b.late, b.team_holds, b.who.first_due);
                     });
}

bool start_queue::is_passed_over(const start_request& wanted,
                                 time_point now) const
{
    if (!is_late(wanted, now))
        return false;
    const auto held = outlook_.memory_by_team();
    const auto own = held_by(held, wanted.team);
    return std::any_of(waiting_.begin(), waiting_.end(),
                       [&](const waiting_start& each) {
                           return held_by(held, each.who.team) < own;
                       });
}

bool start_queue::may_read_more(time_point now) const
{
    return outlook_.unread(now) <= lookahead && outlook_.taken_slots() < slots_;
}

std::vector<start_request> start_queue::give(time_point now)
{
    std::erase_if(waiting_, [&](const waiting_start& each) {
        return each.asked_at + start_silence <= now;
    });
    std::vector<start_request> given;
    if (leaving_ || !outlook_.known())
        return given;
    while (!waiting_.empty() && may_read_more(now)) {
        sort(now);
        const auto next = std::find_if(
            waiting_.begin(), waiting_.end(), [&](const waiting_start& each) {
                return outlook_.has_memory_for(each.who);
            });
        if (next == waiting_.end())
            break;
        outlook_.give(next->who, now);
        given.push_back(std::move(next->who));
        waiting_.erase(next);
    }
    return given;
}

bool start_queue::has_room_for_copy(std::uint64_t tokens) const
{
    if (leaving_ || !outlook_.known())
        return !leaving_;
    // 0: the number of slots is not known yet.
    const bool slot = slots_ == 0 || outlook_.taken_slots() < slots_;
    return slot &&
           outlook_.place().memory_taken + tokens <= outlook_.memory_total();
}

std::optional<time_point> start_queue::next_event(time_point now) const
{
    const auto unread = outlook_.unread(now);
    if (waiting_.empty() || unread <= lookahead)
        return std::nullopt;
    return now + unread - lookahead;
}

} // namespace cyclamenrun

#include "start_queue.hpp"

#include <algorithm>
#include <tuple>

namespace cyclamenrun
{

namespace
{

/**
 * The next start is granted this long before the engine has prefilled all
 * earlier prompts, so that the request arrives in time: a few milliseconds for
 * the network, the rest for variations of the prefill speed.
 */
constexpr milliseconds grant_lead_time{30};

std::uint64_t
memory_of(const std::map<std::string, std::uint64_t>& memory_by_team,
          const std::string& team)
{
    const auto found = memory_by_team.find(team);
    return found == memory_by_team.end() ? 0 : found->second;
}

} // namespace

void start_queue::update_status(const engine_status& status, bool leaving,
                                time_point now)
{
    leaving_ = leaving;
    load_estimate_.update_status(status, now);
}

void start_queue::request_start(const start_request& request, time_point now)
{
    const auto found = std::find_if(waiting_.begin(), waiting_.end(),
                                    [&](const waiting_start& each) {
                                        return each.request.id == request.id;
                                    });
    const auto requested_at = awake_time(now);
    if (found != waiting_.end())
        *found = {request, requested_at};
    else if (!is_granted(request.id) && waiting_.size() < max_waiting_starts)
        waiting_.push_back({request, requested_at});
}

void start_queue::end(const std::string& id)
{
    std::erase_if(waiting_, [&](const waiting_start& each) {
        return each.request.id == id;
    });
    load_estimate_.drop_grant(id);
}

bool start_queue::is_late(const start_request& request, time_point now) const
{
    return now + load_estimate_.prefill_time(request.prompt_tokens) >
           request.first_due;
}

void start_queue::sort(time_point now)
{
    const auto memory_by_team = load_estimate_.memory_by_team();
    for (auto& each : waiting_) {
        each.late = is_late(each.request, now);
        each.team_memory = memory_of(memory_by_team, each.request.team);
    }
    std::stable_sort(
        waiting_.begin(), waiting_.end(),
        [](const waiting_start& a, const waiting_start& b) {
            return std::tie(a.late, a.team_memory, a.request.first_due) <
                   std::tie(b.late, b.team_memory, b.request.first_due);
        });
}

bool start_queue::is_passed_over(const start_request& request,
                                 time_point now) const
{
    if (!is_late(request, now))
        return false;
    const auto memory_by_team = load_estimate_.memory_by_team();
    const auto own_memory = memory_of(memory_by_team, request.team);
    return std::any_of(
        waiting_.begin(), waiting_.end(), [&](const waiting_start& each) {
            return memory_of(memory_by_team, each.request.team) < own_memory;
        });
}

bool start_queue::can_start_prefill(time_point now) const
{
    return load_estimate_.prefill_backlog(now) <= grant_lead_time &&
           load_estimate_.taken_slots() < slots_;
}

std::vector<start_request> start_queue::grant_starts(time_point now)
{
    std::erase_if(waiting_, [&](const waiting_start& each) {
        return each.requested_at + start_request_timeout <= awake_time(now);
    });
    std::vector<start_request> granted;
    if (leaving_ || !load_estimate_.known())
        return granted;
    while (!waiting_.empty() && can_start_prefill(now)) {
        sort(now);
        const auto next = std::find_if(
            waiting_.begin(), waiting_.end(), [&](const waiting_start& each) {
                return load_estimate_.has_memory_for(each.request);
            });
        if (next == waiting_.end())
            break;
        load_estimate_.grant(next->request, now);
        granted.push_back(std::move(next->request));
        waiting_.erase(next);
    }
    return granted;
}

bool start_queue::has_room_for_copy(std::uint64_t tokens) const
{
    if (leaving_ || !load_estimate_.known())
        return !leaving_;
    // 0: the number of slots is not known yet.
    const bool has_free_slot =
        slots_ == 0 || load_estimate_.taken_slots() < slots_;
    return has_free_slot && load_estimate_.occupancy().memory_taken + tokens <=
                                load_estimate_.memory_total();
}

std::optional<time_point> start_queue::next_event(time_point now) const
{
    const auto backlog = load_estimate_.prefill_backlog(now);
    if (waiting_.empty() || backlog <= grant_lead_time)
        return std::nullopt;
    return now + backlog - grant_lead_time;
}

} // namespace cyclamenrun

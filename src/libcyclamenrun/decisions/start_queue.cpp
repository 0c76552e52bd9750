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
/**
 * A start waits no longer than its prefill and half of it can still end in
 * time: the prefill may be slower than estimated, and the queue is checked each
 * 100 ms.
 */
constexpr int prefill_reserve = 2;
/** A start waits at eight engines at first, and one of them prefills it. */
constexpr int engines_per_start = 8;

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
    steps_.record_poll(status, now);
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
        *found = {request, requested_at, found->first_requested_at};
    else if (!is_granted(request.id) && waiting_.size() < max_waiting_starts)
        waiting_.push_back({request, requested_at, now});
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

std::deque<start_queue::waiting_start>::iterator
start_queue::find_next(time_point now)
{
    sort(now);
    deferring_ = false;
    const auto all_prefills =
        steps_.is_slow() ? waiting_prefills() : milliseconds(0);
    for (auto each = waiting_.begin(); each != waiting_.end(); ++each) {
        // A late start must not take the place of one that is still on time.
        if (each->late && deferring_)
            break;
        if (!load_estimate_.has_memory_for(each->request))
            continue;
        if (!is_deferred(*each, all_prefills, now))
            return each;
        deferring_ = true;
    }
    return waiting_.end();
}

double start_queue::streams_made_late(const start_request& start) const
{
    const auto prefill = load_estimate_.prefill_time(start.prompt_tokens);
    std::map<milliseconds, double> probabilities; // by gap target
    double late = 0;
    for (const auto& each : load_estimate_.running_streams(start)) {
        const auto [found, is_new] =
            probabilities.try_emplace(each.gap_target, 0.0);
        if (is_new)
            found->second = steps_.late_probability(each.gap_target, prefill);
        late += found->second * steps_.exposure(each.tokens_left, prefill);
    }
    return late;
}

milliseconds start_queue::slack(const start_request& request,
                                time_point at) const
{
    const auto prefill = load_estimate_.prefill_time(request.prompt_tokens);
    return std::chrono::duration_cast<milliseconds>(request.first_due - at) -
           prefill - prefill / prefill_reserve;
}

milliseconds start_queue::waiting_prefills() const
{
    milliseconds sum{0};
    for (const auto& each : waiting_) {
        if (!each.late)
            sum += load_estimate_.prefill_time(each.request.prompt_tokens);
    }
    return sum;
}

bool start_queue::is_deferred(const waiting_start& start,
                              milliseconds all_prefills, time_point now) const
{
    // At any other time waiting would not make the streams here less likely to
    // be late; the gateway chooses among engines by that.
    if (start.late || !steps_.is_slow())
        return false;
    const auto longest = slack(start.request, start.first_requested_at);
    const auto others =
        all_prefills - load_estimate_.prefill_time(start.request.prompt_tokens);
    const auto left = slack(start.request, now) - others / engines_per_start;
    if (longest <= milliseconds::zero() || left <= milliseconds::zero())
        return false;
    // The gain of a start is one first part on time. It is certain to be lost
    // by waiting only when no slack is left, and counts in proportion before.
    const double used = 1 - static_cast<double>(left.count()) /
                                static_cast<double>(longest.count());
    return streams_made_late(start.request) > used;
}

std::vector<start_request> start_queue::grant_starts(time_point now)
{
    std::erase_if(waiting_, [&](const waiting_start& each) {
        return each.requested_at + start_request_timeout <= awake_time(now);
    });
    std::vector<start_request> granted;
    deferring_ = false;
    if (leaving_ || !load_estimate_.known())
        return granted;
    while (!waiting_.empty() && can_start_prefill(now)) {
        const auto next = find_next(now);
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

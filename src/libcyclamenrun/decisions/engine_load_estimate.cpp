#include "engine_load_estimate.hpp"

#include "number_limits.hpp"

#include <algorithm>
#include <cmath>

namespace cyclamenrun
{

namespace
{

/**
 * A start granted this long ago is in the engine's status, unless it was not
 * used or has ended: the request reaches the engine within some milliseconds,
 * and the engine is polled again within 100 ms.
 */
constexpr milliseconds stale_grant_age{150};
/** Lower bound of the output tokens expected from a running generation. */
constexpr double min_expected_tokens = 30;
/**
 * Fraction of a generation's value that is lost when it is preempted, because
 * its stream pauses until its memory is restored.
 */
constexpr double value_lost_by_preemption = 0.85;
/** Weight of the newest prompt in the moving mean of prompt lengths. */
constexpr double mean_weight = 1.0 / 16;
/** A prefill that seems to take longer is estimated to take this: a day. */
constexpr double longest_prefill_ms = 86'400'000;

std::uint64_t to_tokens(double tokens)
{
    constexpr auto most = static_cast<double>(number_limits::memory_tokens);
    return static_cast<std::uint64_t>(std::clamp(tokens, 0.0, most));
}

} // namespace

void engine_load_estimate::update_status(const engine_status& status,
                                         time_point now)
{
    record_prefill(now);
    status_ = status;
    status_at_ = now;
    std::erase_if(started_, [&](const start_request& each) {
        return std::none_of(status_.generations.begin(),
                            status_.generations.end(),
                            [&](const resident_generation& resident) {
                                return resident.id == each.id;
                            });
    });
    record_started(now);
    drop_stale_grants(now);
}

void engine_load_estimate::record_prefill(time_point now)
{
    const bool prefilling = status_.starting > 0 && !granted_.empty() &&
                            granted_.front().prefill_since != time_point{};
    if (prefilling)
        speed_.record_prefill_time(
            now - std::max(status_at_, granted_.front().prefill_since));
}

void engine_load_estimate::record_started(time_point now)
{
    for (const auto& resident : status_.generations) {
        const auto found = std::find_if(
            granted_.begin(), granted_.end(), [&](const granted_start& each) {
                return each.request.id == resident.id;
            });
        if (found == granted_.end())
            continue;
        speed_.record_prompt(found->request.prompt_tokens);
        started_.push_back(found->request);
        granted_.erase(found);
        if (!granted_.empty())
            granted_.front().prefill_since = now;
    }
}

void engine_load_estimate::drop_stale_grants(time_point now)
{
    // Some generations are so short that they start and end between two polls,
    // so that no status lists them as resident.
    auto stale = std::count_if(
        granted_.begin(), granted_.end(), [&](const granted_start& each) {
            return each.granted_at + stale_grant_age <= now;
        });
    const auto reported =
        static_cast<std::ptrdiff_t>(status_.starting) + status_.queued;
    for (; stale > reported; --stale) {
        speed_.record_prompt(granted_.front().request.prompt_tokens);
        granted_.pop_front();
    }
    if (!granted_.empty() && granted_.front().prefill_since == time_point{})
        granted_.front().prefill_since = now;
}

void engine_load_estimate::grant(const start_request& start, time_point now)
{
    granted_.push_back({start, now, granted_.empty() ? now : time_point{}});
    const auto prompt = static_cast<double>(start.prompt_tokens);
    mean_prompt_ = mean_prompt_ <= 0
                       ? prompt
                       : mean_prompt_ + mean_weight * (prompt - mean_prompt_);
}

bool engine_load_estimate::is_granted(const std::string& id) const
{
    return std::any_of(
        granted_.begin(), granted_.end(),
        [&](const granted_start& each) { return each.request.id == id; });
}

void engine_load_estimate::drop_grant(const std::string& id)
{
    std::erase_if(granted_, [&](const granted_start& each) {
        return each.request.id == id;
    });
}

std::size_t engine_load_estimate::taken_slots() const
{
    const std::size_t not_started = status_.starting + status_.queued;
    return status_.running - std::min(status_.running, status_.starting) +
           std::max(not_started, granted_.size());
}

engine_occupancy engine_load_estimate::occupancy() const
{
    return {taken_slots(), to_tokens(planned_memory())};
}

milliseconds engine_load_estimate::prefill_time(std::uint64_t tokens) const
{
    const double ms = static_cast<double>(tokens) / speed_.tokens_per_ms();
    return milliseconds(std::llround(std::min(ms, longest_prefill_ms)));
}

milliseconds engine_load_estimate::prefill_backlog(time_point now) const
{
    // A gateway that reaches no monitor sends requests without a start grant.
    const std::size_t not_started = status_.starting + status_.queued;
    const auto ungranted = not_started - std::min(not_started, granted_.size());
    const double prompt = mean_prompt_ > 0
                              ? mean_prompt_
                              : static_cast<double>(status_.next_prompt_tokens);
    auto remaining =
        prefill_time(to_tokens(static_cast<double>(ungranted) * prompt));
    for (const auto& each : granted_)
        remaining += prefill_time(each.request.prompt_tokens);
    if (granted_.empty() || granted_.front().prefill_since == time_point{})
        return remaining;
    const auto elapsed = std::chrono::duration_cast<milliseconds>(
        now - granted_.front().prefill_since);
    return remaining -
           std::min(elapsed,
                    prefill_time(granted_.front().request.prompt_tokens));
}

double engine_load_estimate::planned_memory() const
{
    double tokens = static_cast<double>(status_.memory_used);
    // The engine allocates a prompt's memory when it begins to prefill it.
    auto allocated = status_.starting;
    for (const auto& each : granted_) {
        if (allocated > 0 && each.granted_at < status_at_)
            --allocated;
        else
            tokens += static_cast<double>(each.request.prompt_tokens);
    }
    return tokens;
}

const start_request*
engine_load_estimate::find_started(const std::string& id) const
{
    const auto found =
        std::find_if(started_.begin(), started_.end(),
                     [&](const start_request& each) { return each.id == id; });
    return found == started_.end() ? nullptr : &*found;
}

std::map<std::string, std::uint64_t>
engine_load_estimate::memory_by_team() const
{
    std::map<std::string, std::uint64_t> tokens;
    for (const auto& each : granted_)
        tokens[each.request.team] += each.request.prompt_tokens;
    for (const auto& resident : status_.generations) {
        const auto* known = find_started(resident.id);
        if (known != nullptr)
            tokens[known->team] += resident.memory_tokens;
    }
    return tokens;
}

double engine_load_estimate::expected_further_tokens(
    const resident_generation& resident, const start_request& request) const
{
    const auto* known = find_started(resident.id);
    // A generation moved from another engine has been running for a while.
    if (known == nullptr)
        return static_cast<double>(request.output_tokens) / 2;
    const auto expected = static_cast<double>(known->output_tokens);
    const auto generated = static_cast<double>(resident.memory_tokens) -
                           static_cast<double>(known->prompt_tokens);
    // A generation that exceeds its expected length may continue to grow.
    return std::max(expected - generated, expected / 2);
}

std::vector<running_stream>
engine_load_estimate::running_streams(const start_request& request) const
{
    std::vector<running_stream> streams;
    for (const auto& resident : status_.generations) {
        const auto* known = find_started(resident.id);
        const auto target =
            known != nullptr ? known->gap_target : request.gap_target;
        if (target > milliseconds::zero())
            streams.push_back(
                {target, expected_further_tokens(resident, request)});
    }
    return streams;
}

double engine_load_estimate::room_to_grow(const start_request& request) const
{
    // Expected number of generations that end while each makes one token.
    double ends_per_step = 0;
    double count = 0;
    const auto add = [&](double remaining) {
        ends_per_step += 1 / std::max(remaining, min_expected_tokens);
        ++count;
    };
    for (const auto& resident : status_.generations)
        add(expected_further_tokens(resident, request));
    for (const auto& each : granted_)
        add(static_cast<double>(each.request.output_tokens));
    add(static_cast<double>(request.output_tokens));
    const double mean = count / ends_per_step;
    const double total = static_cast<double>(status_.memory_total);
    return mean *
           std::log(std::max(1.0, value_lost_by_preemption * total / mean));
}

bool engine_load_estimate::has_memory_for(const start_request& request) const
{
    const double needed =
        planned_memory() + static_cast<double>(request.prompt_tokens);
    const double total = static_cast<double>(status_.memory_total);
    // The cheap check comes first: a full engine can have hundreds of waiting
    // requests.
    if (needed > total)
        return false;
    const bool empty = status_.generations.empty() && granted_.empty();
    return needed + (empty ? 0.0 : room_to_grow(request)) <= total;
}

} // namespace cyclamenrun

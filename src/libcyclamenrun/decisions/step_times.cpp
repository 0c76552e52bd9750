#include "step_times.hpp"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace cyclamenrun
{

namespace
{

constexpr double shortest_step_ms = 0.5;
constexpr double longest_step_ms = 2000;
constexpr double most_slowness = 100;
/** Weights of samples are 1/e after three minutes of polls each 100 ms. */
constexpr double samples_kept = 1800;
constexpr double memory_ms = 180'000;
/** Events are compared with the steps of the last seconds. */
constexpr double event_memory_ms = 20'000;
/**
 * A window has at least this many steps, so that counting whole steps errs by
 * less than an eighth, unless it would be longer than `max_window_ms`: slow
 * moments can be short.
 */
constexpr std::uint64_t min_window_steps = 8;
constexpr double max_window_ms = 300;
/** A longer interval hides slow moments: a poll has failed, or was late. */
constexpr double max_interval_ms = 400;
/** Windows without which the usual duration of a step is not known. */
constexpr double min_samples = 5;
/** The same for how slow an engine is in slow moments. */
constexpr double min_slow_samples = 2;
/**
 * An engine is slow if a step takes this many times its usual duration. More
 * running generations lengthen the steps of a steady engine by up to a third.
 */
constexpr double slow_factor = 1.35;
/** Events without which the tokens in an event are not known. */
constexpr double min_events = 50;

double ms_of(duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

std::string_view name_of(step_kind kind)
{
    switch (kind) {
    case step_kind::decode:
        return "decode";
    case step_kind::prefill:
        return "prefill";
    case step_kind::mixed:
        return "mixed";
    }
    return "other";
}

step_times::step_times()
    : steps_{fading_histogram(shortest_step_ms, longest_step_ms, samples_kept),
             fading_histogram(shortest_step_ms, longest_step_ms, samples_kept)},
      slowness_(1, most_slowness, samples_kept / 10)
{
}

std::optional<step_times::interval>
step_times::interval_between(const poll& first, const poll& second)
{
    std::vector<std::uint64_t> growths;
    std::size_t begun = 0;
    for (const auto& [id, tokens] : second.memory_tokens) {
        const auto before = first.memory_tokens.find(id);
        if (before == first.memory_tokens.end())
            ++begun;
        else if (tokens >= before->second)
            growths.push_back(tokens - before->second);
    }
    const double ms = ms_of(second.at - first.at);
    if (growths.empty() || ms <= 0 || ms > max_interval_ms)
        return std::nullopt;
    interval result;
    result.ms = ms;
    // A generation whose memory is being copied can stand still.
    const auto middle =
        growths.begin() + static_cast<std::ptrdiff_t>(growths.size() / 2);
    std::nth_element(growths.begin(), middle, growths.end());
    result.steps = *middle;
    result.generations = growths.size();
    if (first.prefilling && second.prefilling)
        result.kind = step_kind::prefill;
    else if (!first.prefilling && !second.prefilling && begun == 0)
        result.kind = step_kind::decode;
    return result;
}

void step_times::record_poll(const engine_status& status, time_point now)
{
    poll current{now, status.starting > 0, {}};
    for (const auto& each : status.generations)
        current.memory_tokens.emplace(each.id, each.memory_tokens);
    const auto previous = std::exchange(last_poll_, std::move(current));
    const auto last =
        previous ? interval_between(*previous, *last_poll_) : std::nullopt;
    if (!last) {
        window_.clear();
        slow_ = false;
        return;
    }
    record_means(*last);
    // Part of the interval in which the engine became slow, or ceased to be,
    // is of the other state.
    if (update_slowness(*last))
        window_.clear();
    else
        record_window(*last);
}

void step_times::record_means(const interval& last)
{
    const double kept = std::exp(-last.ms / event_memory_ms);
    const auto generations = static_cast<double>(last.generations);
    stream_ms_ = stream_ms_ * kept + generations * last.ms;
    stream_steps_ =
        stream_steps_ * kept + generations * static_cast<double>(last.steps);
    event_ms_ *= kept;
    events_ *= kept;
    const double kept_long = std::exp(-last.ms / memory_ms);
    not_slow_ms_ = not_slow_ms_ * kept_long + (slow_ ? 0 : last.ms);
    slow_moments_ *= kept_long;
    slow_moments_beside_prefill_ *= kept_long;
    if (slow_ && last.kind != step_kind::decode &&
        !std::exchange(slow_beside_prefill_, true))
        ++slow_moments_beside_prefill_;
}

bool step_times::update_slowness(const interval& last)
{
    const double usual = last.kind == step_kind::decode
                             ? usual_ms(step_kind::decode)
                             : usual_ms(step_kind::prefill);
    if (usual <= 0)
        return false;
    const bool was_slow = slow_;
    const auto steps = static_cast<double>(last.steps);
    // Counting errs by one step, so a state changes only if it would with one
    // step more, or less.
    if (!slow_ && last.ms > slow_factor * usual * (steps + 1)) {
        slow_ = true;
        slow_beside_prefill_ = false;
        ++slow_moments_;
    } else if (slow_ && last.ms < slow_factor * usual * steps &&
               last.kind != step_kind::mixed) {
        slow_ = false;
    }
    return slow_ != was_slow;
}

void step_times::record_window(const interval& last)
{
    if (last.kind == step_kind::mixed ||
        (!window_.empty() && window_.back().kind != last.kind))
        window_.clear();
    if (last.kind == step_kind::mixed)
        return;
    window_.push_back(last);
    double ms = 0;
    std::uint64_t steps = 0;
    auto first = window_.end();
    while (first != window_.begin() && steps < min_window_steps &&
           ms < max_window_ms) {
        --first;
        ms += first->ms;
        steps += first->steps;
    }
    window_.erase(window_.begin(), first);
    if (steps < min_window_steps && ms < max_window_ms)
        return;
    const double step_ms =
        ms / static_cast<double>(std::max<std::uint64_t>(1, steps));
    const double usual = usual_ms(last.kind);
    if (slow_ && usual > 0)
        slowness_.add(step_ms / usual);
    steps_[static_cast<std::size_t>(last.kind)].add(step_ms);
    update_usual(last.kind);
}

void step_times::record_events(std::uint64_t events, milliseconds time)
{
    events_ += static_cast<double>(events);
    event_ms_ += ms_of(time);
}

double step_times::usual_ms(step_kind kind) const
{
    return kind == step_kind::mixed ? 0
                                    : usual_ms_[static_cast<std::size_t>(kind)];
}

void step_times::update_usual(step_kind kind)
{
    const auto index = static_cast<std::size_t>(kind);
    const auto& steps = steps_[index];
    if (steps.weight() < min_samples)
        return;
    // The mean of what is near the median: the median alone errs by the
    // rounding of counted steps, and a mean of all is moved by slow moments.
    const double median = steps.median();
    usual_ms_[index] =
        steps.harmonic_mean(median / slow_factor, median * slow_factor);
}

std::optional<double> step_times::tokens_per_event() const
{
    if (events_ < min_events || stream_steps_ <= 0)
        return std::nullopt;
    const double tokens = (event_ms_ / events_) / (stream_ms_ / stream_steps_);
    // Events hold whole tokens, and the mean errs by a few per cent.
    return std::max(1.0, std::round(tokens));
}

double step_times::slow_moments_per_ms() const
{
    return not_slow_ms_ > 0 ? slow_moments_ / not_slow_ms_ : 0;
}

bool step_times::has_slow_moments() const
{
    return slowness_.weight() >= min_slow_samples;
}

double step_times::exposure(double tokens_left, milliseconds prefill_time) const
{
    const double prefill_ms = ms_of(prefill_time);
    const double left_ms = tokens_left * usual_ms(step_kind::prefill);
    return prefill_ms <= left_ms ? 1.0 : left_ms / prefill_ms;
}

double step_times::late_share(milliseconds gap_target, double tokens_per_event,
                              step_kind kind) const
{
    return slowness_.share_above(ms_of(gap_target) /
                                 (tokens_per_event * usual_ms(kind)));
}

double step_times::stream_lateness(milliseconds gap_target, double tokens) const
{
    const auto event_tokens = tokens_per_event();
    if (gap_target <= milliseconds::zero() || !event_tokens ||
        !has_slow_moments() || usual_ms(step_kind::decode) <= 0 ||
        usual_ms(step_kind::prefill) <= 0 || slow_moments_ <= 0)
        return 0;
    const double prefilled =
        std::min(1.0, slow_moments_beside_prefill_ / slow_moments_);
    const double late =
        prefilled * late_share(gap_target, *event_tokens, step_kind::prefill) +
        (1 - prefilled) *
            late_share(gap_target, *event_tokens, step_kind::decode);
    const double ms = tokens * stream_ms_ / stream_steps_;
    return 1 - std::exp(-slow_moments_per_ms() * ms * late);
}

double step_times::late_probability(milliseconds gap_target,
                                    milliseconds prefill_time) const
{
    const double decode = usual_ms(step_kind::decode);
    const double prefill = usual_ms(step_kind::prefill);
    const auto tokens = tokens_per_event();
    if (gap_target <= milliseconds::zero() || decode <= 0 || prefill <= 0 ||
        !tokens)
        return 0;
    if (*tokens * prefill >= ms_of(gap_target) || !has_slow_moments())
        return 0;
    const double caused = late_share(gap_target, *tokens, step_kind::prefill) -
                          late_share(gap_target, *tokens, step_kind::decode);
    if (slow_)
        return std::max(0.0, caused);
    const double becomes_slow =
        1 - std::exp(-slow_moments_per_ms() * ms_of(prefill_time));
    return std::max(0.0, caused) * becomes_slow;
}

} // namespace cyclamenrun

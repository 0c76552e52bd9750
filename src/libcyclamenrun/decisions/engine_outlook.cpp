#include "engine_outlook.hpp"

#include <algorithm>
#include <cmath>

namespace cyclamenrun
{

namespace
{

/**
 * A start granted this long ago is in the engine's status, unless it was not
 * used or has ended: the request takes some milliseconds to the engine, and
 * the engine is polled again within 100 ms.
 */
constexpr milliseconds unseen_after{150};
/** Lower bound of the output tokens expected from a running generation. */
constexpr double least_left = 30;
/**
 * Share of its served value that a generation loses when it is preempted: its
 * stream pauses until its memory is restored.
 */
constexpr double worth_lost_by_preemption = 0.85;
/** Weight of the newest prompt in the moving mean of prompt lengths. */
constexpr double mean_weight = 1.0 / 16;

} // namespace

void engine_outlook::take_view(const engine_view& view, time_point now)
{
    note_reading(now);
    view_ = view;
    viewed_at_ = now;
    std::erase_if(begun_, [&](const start_request& each) {
        return std::none_of(
            view_.generations.begin(), view_.generations.end(),
            [&](const held_generation& held) { return held.id == each.id; });
    });
    move_begun(now);
    drop_unseen(now);
}

void engine_outlook::note_reading(time_point now)
{
    const bool reading = view_.starting > 0 && !given_.empty() &&
                         given_.front().reading_since != time_point{};
    if (reading)
        speed_.was_busy(now -
                        std::max(viewed_at_, given_.front().reading_since));
}

void engine_outlook::move_begun(time_point now)
{
    for (const auto& held : view_.generations) {
        const auto found = std::find_if(
            given_.begin(), given_.end(),
            [&](const given_start& each) { return each.who.id == held.id; });
        if (found == given_.end())
            continue;
        speed_.read(found->who.prompt_tokens);
        begun_.push_back(found->who);
        given_.erase(found);
        if (!given_.empty())
            given_.front().reading_since = now;
    }
}

void engine_outlook::drop_unseen(time_point now)
{
    // Some generations are so short that they start and end between two polls.
    auto old = std::count_if(given_.begin(), given_.end(),
                             [&](const given_start& each) {
                                 return each.given_at + unseen_after <= now;
                             });
    const auto there =
        static_cast<std::ptrdiff_t>(view_.starting) + view_.queued;
    for (; old > there; --old) {
        speed_.read(given_.front().who.prompt_tokens);
        given_.pop_front();
    }
    if (!given_.empty() && given_.front().reading_since == time_point{})
        given_.front().reading_since = now;
}

void engine_outlook::give(const start_request& start, time_point now)
{
    given_.push_back({start, now, given_.empty() ? now : time_point{}});
    const auto prompt = static_cast<double>(start.prompt_tokens);
    mean_prompt_ = mean_prompt_ <= 0
                       ? prompt
                       : mean_prompt_ + mean_weight * (prompt - mean_prompt_);
}

bool engine_outlook::was_given(const std::string& id) const
{
    return std::any_of(
        given_.begin(), given_.end(),
        [&](const given_start& each) { return each.who.id == id; });
}

void engine_outlook::forget(const std::string& id)
{
    std::erase_if(given_,
                  [&](const given_start& each) { return each.who.id == id; });
}

std::size_t engine_outlook::taken_slots() const
{
    const std::size_t unbegun = view_.starting + view_.queued;
    return view_.running - std::min(view_.running, view_.starting) +
           std::max(unbegun, given_.size());
}

given_place engine_outlook::place() const
{
    return {taken_slots(), static_cast<std::uint64_t>(planned_memory())};
}

milliseconds engine_outlook::reading_time(std::uint64_t tokens) const
{
    return milliseconds(
        std::llround(static_cast<double>(tokens) / speed_.tokens_per_ms()));
}

milliseconds engine_outlook::unread(time_point now) const
{
    // A gateway that reaches no monitor sends requests without a start grant.
    const std::size_t unbegun = view_.starting + view_.queued;
    const auto unasked = unbegun - std::min(unbegun, given_.size());
    const double prompt = mean_prompt_ > 0
                              ? mean_prompt_
                              : static_cast<double>(view_.next_tokens);
    auto left = reading_time(
        static_cast<std::uint64_t>(static_cast<double>(unasked) * prompt));
    for (const auto& each : given_)
        left += reading_time(each.who.prompt_tokens);
    if (given_.empty() || given_.front().reading_since == time_point{})
        return left;
    const auto read = std::chrono::duration_cast<milliseconds>(
        now - given_.front().reading_since);
    return left -
           std::min(read, reading_time(given_.front().who.prompt_tokens));
}

double engine_outlook::planned_memory() const
{
    double tokens = static_cast<double>(view_.memory_used);
    // The engine allocates a prompt's memory when it begins to read it.
    auto counted = view_.starting;
    for (const auto& each : given_) {
        if (counted > 0 && each.given_at < viewed_at_)
            --counted;
        else
            tokens += static_cast<double>(each.who.prompt_tokens);
    }
    return tokens;
}

const start_request* engine_outlook::find_begun(const std::string& id) const
{
    const auto found =
        std::find_if(begun_.begin(), begun_.end(),
                     [&](const start_request& each) { return each.id == id; });
    return found == begun_.end() ? nullptr : &*found;
}

std::map<std::string, std::uint64_t> engine_outlook::memory_by_team() const
{
    std::map<std::string, std::uint64_t> tokens;
    for (const auto& each : given_)
        tokens[each.who.team] += each.who.prompt_tokens;
    for (const auto& held : view_.generations) {
        const auto* known = find_begun(held.id);
        if (known != nullptr)
            tokens[known->team] += held.memory_tokens;
    }
    return tokens;
}

double engine_outlook::expected_left(const held_generation& held,
                                     const start_request& wanted) const
{
    const auto* known = find_begun(held.id);
    // A generation moved from another engine has been running for a while.
    if (known == nullptr)
        return static_cast<double>(wanted.output_tokens) / 2;
    const auto expected = static_cast<double>(known->output_tokens);
    const auto made = static_cast<double>(held.memory_tokens) -
                      static_cast<double>(known->prompt_tokens);
    // A generation that exceeds its expected length may continue to grow.
    return std::max(expected - made, expected / 2);
}

double engine_outlook::room_to_grow(const start_request& wanted) const
{
    double ends = 0; // expected ends while each generation makes one token
    double count = 0;
    const auto add = [&](double left) {
        ends += 1 / std::max(left, least_left);
        ++count;
    };
    for (const auto& held : view_.generations)
        add(expected_left(held, wanted));
    for (const auto& each : given_)
        add(static_cast<double>(each.who.output_tokens));
    add(static_cast<double>(wanted.output_tokens));
    const double mean = count / ends;
    const double total = static_cast<double>(view_.memory_total);
    return mean *
           std::log(std::max(1.0, worth_lost_by_preemption * total / mean));
}

bool engine_outlook::has_memory_for(const start_request& wanted) const
{
    const double needed =
        planned_memory() + static_cast<double>(wanted.prompt_tokens);
    const double total = static_cast<double>(view_.memory_total);
    // Cheap check first: a full engine can have hundreds of waiting requests.
    if (needed > total)
        return false;
    const bool empty = view_.generations.empty() && given_.empty();
    return needed + (empty ? 0.0 : room_to_grow(wanted)) <= total;
}

} // namespace cyclamenrun

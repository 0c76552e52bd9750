#include "team_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace cyclamenrun
{

namespace
{

// Capacity of a bucket, in seconds of its rate.
constexpr double bucket_s = 10.0;

constexpr milliseconds min_retry_after{100};
constexpr milliseconds max_retry_after{600'000};

// Assumed time until a request of the team ends; answers take seconds, and
// there is no better estimate.
constexpr milliseconds slot_retry_after{1'000};

milliseconds to_retry_after(double seconds)
{
    const double longest_ms = static_cast<double>(max_retry_after.count());
    const double ms = std::min(seconds * 1000.0, longest_ms);
    return std::max(milliseconds(std::llround(std::ceil(ms))), min_retry_after);
}

refusal over_limit(const char* limit, milliseconds after)
{
    return not_run(refusal_reason::team_limit, limit, after);
}

} // namespace

team_limiter::team_limiter(std::size_t max_teams) : max_teams_(max_teams) {}

void team_limiter::set_entries(std::uint32_t count)
{
    entries_ = std::max(count, 1U);
}

std::uint32_t team_limiter::share_of(std::uint32_t limit) const
{
    return std::max((limit + entries_ - 1) / entries_, 1U);
}

outcome<void> team_limiter::admit(const std::string& team,
                                  const team_limits& limits,
                                  std::uint32_t prompt_tokens, time_point now)
{
    auto found = teams_.find(team);
    if (found == teams_.end()) {
        if (!make_room())
            return tl::unexpected(
                over_limit("teams at this entry", slot_retry_after));
        found = teams_.emplace(team, state{}).first;
    }
    state& current = found->second;
    if (limits.max_concurrent > 0 &&
        current.running >= share_of(limits.max_concurrent))
        return tl::unexpected(over_limit("max_concurrent", slot_retry_after));
    fill(current, limits, now);
    if (current.rate > 0.0) {
        const double tokens = current.bucket.tokens();
        if (tokens <= 0.0)
            return tl::unexpected(over_limit(
                "tokens_per_second", to_retry_after(-tokens / current.rate)));
        current.bucket.take(prompt_tokens);
    }
    ++current.running;
    return {};
}

void team_limiter::fill(state& current, const team_limits& limits,
                        time_point now) const
{
    const bool is_new = current.rate == 0.0;
    current.rate = static_cast<double>(limits.tokens_per_second) / entries_;
    const double capacity = current.rate * bucket_s;
    if (is_new)
        current.bucket = token_bucket(capacity, now);
    else
        current.bucket.fill(current.rate, capacity, now);
}

bool team_limiter::make_room()
{
    if (teams_.size() < max_teams_)
        return true;
    // A team in debt is kept, or a burst of new teams would erase its debt.
    std::erase_if(teams_, [](const auto& item) {
        return item.second.running == 0 && item.second.bucket.tokens() >= 0.0;
    });
    return teams_.size() < max_teams_;
}

void team_limiter::record_output(const std::string& team, std::uint32_t tokens)
{
    const auto found = teams_.find(team);
    if (found != teams_.end() && found->second.rate > 0.0)
        found->second.bucket.take(tokens);
}

void team_limiter::record_end(const std::string& team)
{
    const auto found = teams_.find(team);
    if (found != teams_.end() && found->second.running > 0)
        --found->second.running;
}

} // namespace cyclamenrun

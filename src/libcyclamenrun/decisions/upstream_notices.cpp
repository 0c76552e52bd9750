#include "upstream_notices.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace cyclamenrun
{

std::optional<milliseconds> parse_rest(std::string_view seconds)
{
    double value = 0;
    const auto* end = seconds.data() + seconds.size();
    const auto [stop, error] = std::from_chars(seconds.data(), end, value);
    if (error != std::errc() || stop != end || !std::isfinite(value) ||
        value < 0)
        return std::nullopt;
    const std::chrono::duration<double> rest(value);
    if (rest >= max_upstream_rest)
        return max_upstream_rest;
    return std::chrono::ceil<milliseconds>(rest);
}

upstream_notices::change upstream_notices::record(const std::string& upstream,
                                                  const upstream_notice& notice,
                                                  time_point now)
{
    change result;
    const bool rests = notice.rest && *notice.rest > milliseconds::zero();
    if (!rests && !notice.leaving)
        return result;
    if (!records_.contains(upstream))
        make_room(now);
    auto& known = records_[upstream];
    known.recorded_at = now;
    if (rests && now + *notice.rest > known.rests_until) {
        known.rests_until = now + *notice.rest;
        result.rest_extended = true;
    }
    result.leaving_began = notice.leaving && !known.leaving;
    known.leaving = known.leaving || notice.leaving;
    return result;
}

void upstream_notices::make_room(time_point now)
{
    if (records_.size() < max_noticed_upstreams)
        return;
    std::erase_if(records_, [now](const auto& entry) {
        return !entry.second.leaving && entry.second.rests_until <= now;
    });
    if (records_.size() < max_noticed_upstreams)
        return;
    records_.erase(std::min_element(
        records_.begin(), records_.end(), [](const auto& a, const auto& b) {
            return a.second.recorded_at < b.second.recorded_at;
        }));
}

void upstream_notices::forget(const std::string& upstream)
{
    records_.erase(upstream);
}

bool upstream_notices::is_leaving(const std::string& upstream) const
{
    const auto found = records_.find(upstream);
    return found != records_.end() && found->second.leaving;
}

bool upstream_notices::is_resting(const std::string& upstream,
                                  time_point now) const
{
    return rest_left(upstream, now) > milliseconds::zero();
}

milliseconds upstream_notices::rest_left(const std::string& upstream,
                                         time_point now) const
{
    const auto found = records_.find(upstream);
    if (found == records_.end() || found->second.rests_until <= now)
        return milliseconds::zero();
    return std::chrono::ceil<milliseconds>(found->second.rests_until - now);
}

std::size_t upstream_notices::count_resting(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(
        records_.begin(), records_.end(),
        [now](const auto& entry) { return entry.second.rests_until > now; }));
}

} // namespace cyclamenrun

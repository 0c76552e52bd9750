#include "upstream_limits.hpp"

#include <algorithm>

namespace cyclamenrun
{

namespace
{

/**
 * A limit that no answer has confirmed for this long has ended with its
 * upstream.
 */
constexpr milliseconds limit_lifetime{60000};

} // namespace

upstream_limits::record*
upstream_limits::find_or_add(const std::string& upstream, time_point now)
{
    const auto known = records_.find(upstream);
    if (known != records_.end())
        return &known->second;
    if (records_.size() >= max_limited_upstreams)
        std::erase_if(records_, [now](const auto& entry) {
            return now - entry.second.observed_at >= limit_lifetime;
        });
    if (records_.size() >= max_limited_upstreams)
        return nullptr;
    return &records_[upstream];
}

bool upstream_limits::record_answer(const std::string& upstream,
                                    std::optional<double> limit, time_point now)
{
    const auto known = limit_of(upstream, now);
    if (!limit && !known)
        return false;
    auto* const found = find_or_add(upstream, now);
    if (found == nullptr)
        return false;
    found->limit = limit;
    found->observed_at = now;
    return known != limit;
}

std::optional<double> upstream_limits::limit_of(const std::string& upstream,
                                                time_point now) const
{
    const auto known = records_.find(upstream);
    if (known == records_.end() ||
        now - known->second.observed_at >= limit_lifetime)
        return std::nullopt;
    return known->second.limit;
}

std::size_t upstream_limits::count_limited(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(records_.begin(), records_.end(), [&](const auto& known) {
            return limit_of(known.first, now).has_value();
        }));
}

} // namespace cyclamenrun

#include "upstream_limits.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cyclamenrun
{

namespace
{

/**
 * A limit that no answer has confirmed for this long has ended with its
 * upstream.
 */
constexpr milliseconds limit_lifetime{60000};
/** Other gateways are told that an unchanged limit holds after this time. */
constexpr milliseconds confirm_interval{10000};
/** Requests that a gateway may save up. */
constexpr double bucket_capacity = 1;
/** Smaller changes of a limit matter less than the shares' inaccuracy. */
constexpr double significant_change = 0.05;

bool differs(std::optional<double> left, std::optional<double> right)
{
    if (!left || !right)
        return left.has_value() != right.has_value();
    return std::abs(*left - *right) > significant_change * *left;
}

} // namespace

void upstream_limits::set_gateway_count(std::size_t count)
{
    gateways_ = std::max<std::size_t>(1, count);
}

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

const upstream_limits::record*
upstream_limits::find_limited(const std::string& upstream, time_point now) const
{
    const auto known = records_.find(upstream);
    const bool is_limited = known != records_.end() && known->second.limit &&
                            now - known->second.observed_at < limit_lifetime;
    return is_limited ? &known->second : nullptr;
}

bool upstream_limits::observe(const std::string& upstream,
                              std::optional<double> limit,
                              time_point observed_at, time_point now)
{
    auto* const found = find_or_add(upstream, now);
    if (found == nullptr)
        return false;
    auto& known = *found;
    const auto before = find_limited(upstream, now) != nullptr
                            ? known.limit
                            : std::optional<double>();
    if (!before && limit) {
        std::uniform_real_distribution<double> part(0, bucket_capacity);
        known.bucket = token_bucket(part(random_), now);
        known.next_return = {};
    }
    if (before)
        known.bucket.fill(share_of(known), bucket_capacity, now);
    known.observed_at = observed_at;
    known.limit = limit;
    const bool changed = differs(before, limit);
    if (changed || observed_at - known.shared_at >= confirm_interval) {
        known.shared_at = observed_at;
        known.changed = ++version_;
    }
    return changed;
}

bool upstream_limits::record_answer(const std::string& upstream,
                                    std::optional<double> limit, time_point now)
{
    if (!limit && find_limited(upstream, now) == nullptr)
        return false;
    return observe(upstream, limit, now, now);
}

bool upstream_limits::merge(const limit_observation& observed, time_point now)
{
    if (now - observed.observed_at >= limit_lifetime)
        return false;
    const auto known = records_.find(observed.upstream);
    if (known != records_.end() &&
        observed.observed_at <= known->second.observed_at)
        return false;
    return observe(observed.upstream, observed.limit, observed.observed_at,
                   now);
}

std::optional<double> upstream_limits::limit_of(const std::string& upstream,
                                                time_point now) const
{
    const auto* const known = find_limited(upstream, now);
    const auto cold = cold_.limit_of(upstream, now);
    if (known == nullptr)
        return cold;
    return cold ? std::min(*known->limit, *cold) : known->limit;
}

void upstream_limits::forget(const std::string& upstream, time_point now)
{
    cold_.forget(upstream);
    auto* const known = find_or_add(upstream, now);
    if (known == nullptr)
        return;
    *known = {};
    known->observed_at = now;
}

std::size_t upstream_limits::count_limited(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(records_.begin(), records_.end(), [&](const auto& known) {
            return find_limited(known.first, now) != nullptr;
        }));
}

double upstream_limits::share_of(const record& known) const
{
    return *known.limit / static_cast<double>(gateways_);
}

milliseconds upstream_limits::time_between_requests(const record& known) const
{
    const double share = share_of(known);
    const double longest =
        std::chrono::duration<double>(limit_lifetime).count();
    const double seconds = share > 0 ? std::min(longest, 1 / share) : longest;
    return milliseconds(std::llround(seconds * 1000));
}

bool upstream_limits::has_room(const std::string& upstream,
                               time_point now) const
{
    return time_to_room(upstream, now) == milliseconds::zero();
}

milliseconds upstream_limits::time_to_room(const std::string& upstream,
                                           time_point now) const
{
    const auto cold = cold_.time_to_room(upstream, now);
    const auto* const known = find_limited(upstream, now);
    if (known == nullptr)
        return cold;
    const double missing =
        bucket_capacity -
        known->bucket.tokens_at(share_of(*known), bucket_capacity, now);
    if (missing <= 0)
        return cold;
    const double wait =
        missing * static_cast<double>(time_between_requests(*known).count());
    return std::max(cold, milliseconds(std::llround(std::ceil(wait))));
}

void upstream_limits::record_send(const std::string& upstream, time_point now)
{
    cold_.record_send(upstream, now);
    if (find_limited(upstream, now) == nullptr)
        return;
    auto& known = records_.at(upstream);
    known.bucket.fill(share_of(known), bucket_capacity, now);
    known.bucket.take(1);
}

milliseconds upstream_limits::reserve_return(const std::string& upstream,
                                             time_point now)
{
    const auto* const limited = find_limited(upstream, now);
    const auto between = std::max(
        cold_.time_between_returns(upstream, now),
        limited != nullptr ? time_between_requests(*limited) : milliseconds(0));
    auto* const known =
        between > milliseconds(0) ? find_or_add(upstream, now) : nullptr;
    if (known == nullptr)
        return time_to_room(upstream, now);
    const auto return_at =
        std::max(now + time_to_room(upstream, now), known->next_return);
    known->next_return = return_at + between;
    // Far returns are not worth a promise: callers give up before.
    known->next_return = std::min(known->next_return, now + limit_lifetime);
    return time_left(return_at, now);
}

upstream_limits::batch upstream_limits::oldest_since(std::uint64_t version,
                                                     std::size_t count,
                                                     time_point now) const
{
    std::vector<std::pair<std::uint64_t, const std::string*>> changed;
    for (const auto& [upstream, known] : records_)
        if (known.changed > version)
            changed.emplace_back(known.changed, &upstream);
    std::sort(changed.begin(), changed.end());
    batch result;
    result.version = version_;
    for (const auto& [change, upstream] : changed) {
        if (result.observations.size() == count) {
            result.version = change - 1;
            break;
        }
        const auto& known = records_.at(*upstream);
        if (now - known.observed_at < limit_lifetime)
            result.observations.push_back(
                {*upstream, known.limit, known.observed_at});
    }
    return result;
}

} // namespace cyclamenrun

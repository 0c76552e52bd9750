#include "cold_limits.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cyclamenrun
{

namespace
{

/** A gateway that knows no other may be one of many that are cut off. */
constexpr std::size_t least_divisor = 8;
/**
 * Time in which gateways learn of a change of their number. News of one gateway
 * takes longer to reach all others the more there are.
 */
constexpr milliseconds base_settling_time{4000};
constexpr milliseconds settling_time_per_gateway{10};
/**
 * In this time after its start a process gets to know the others; each one that
 * it finds may come before it.
 */
constexpr milliseconds discovery_time{10000};
/** A process that has not counted the gateways for so long was paused. */
constexpr milliseconds longest_count_age{2000};

} // namespace

std::string_view name_of(cold_source source)
{
    switch (source) {
    case cold_source::listed:
        return "listed";
    case cold_source::answered:
        return "answered";
    case cold_source::presumed:
        return "presumed";
    case cold_source::crashed:
        return "crashed";
    }
    return "listed";
}

time_point cold_deadline(milliseconds left, time_point now)
{
    if (left <= milliseconds::zero())
        return {};
    return now + std::min(left, max_cold_time);
}

void cold_limits::set_bounds(const cold_bounds& bounds, time_point now)
{
    if (std::exchange(bounds_, bounds) == bounds)
        return;
    if (!enabled())
        records_.clear();
    divide_all(now);
}

void cold_limits::set_rates(std::unordered_map<std::string, double> per_s,
                            time_point now)
{
    if (std::exchange(rates_, std::move(per_s)) != rates_)
        divide_all(now);
}

void cold_limits::set_gateways(const known_gateways& known, time_point now)
{
    const bool is_first = !started_at_;
    if (is_first)
        started_at_ = now;
    const bool resumed = !is_first && (known.resumed || is_stale(now));
    const bool changed = ranking_.set(known.own, known.others);
    if (changed || resumed || is_first)
        gateways_changed_at_ = now;
    gateways_set_at_ = now;
    if (resumed)
        for (auto& [upstream, each] : records_)
            each.sends = false;
    if (std::exchange(remembered_, known.remembered) != known.remembered ||
        changed || resumed)
        divide_all(now);
}

std::size_t cold_limits::divisor() const
{
    const std::size_t known = ranking_.size();
    return std::max({remembered_, known, known > 1 ? 1 : least_divisor});
}

milliseconds cold_limits::settling_time() const
{
    return base_settling_time +
           settling_time_per_gateway * static_cast<int>(ranking_.size());
}

double cold_limits::rate_of(const std::string& service) const
{
    const auto found = rates_.find(service);
    return found != rates_.end() ? found->second : -1;
}

double cold_limits::total_rate(const cold_share& share)
{
    return share.rate * static_cast<double>(share.senders);
}

void cold_limits::fill(record_state& known, time_point now)
{
    if (now > known.sends_from)
        known.bucket.fill(known.share.rate, known.share.capacity, now);
}

void cold_limits::divide(const std::string& upstream, record_state& known,
                         time_point now) const
{
    fill(known, now);
    known.share = divide_cold_bound(bounds_, rate_of(known.service), divisor());
    const bool sends = is_sender(upstream, known.share);
    const bool begins_again = now < known.sends_from && is_discovering(now);
    if (sends && (!known.sends || begins_again))
        begin_to_send(known, now);
    known.sends = sends;
}

void cold_limits::begin_to_send(record_state& known, time_point now) const
{
    known.sends_from = std::max(now, gateways_changed_at_ + settling_time());
    // A debt remains.
    known.bucket =
        token_bucket(std::min(known.bucket.tokens(), 0.0), known.sends_from);
}

void cold_limits::fill_new(const std::string& upstream, time_point now)
{
    if (find_cold(upstream, now) == nullptr)
        return;
    auto& known = records_.at(upstream);
    if (known.sends && known.sends_from <= now && !is_discovering(now))
        known.bucket = token_bucket(known.share.capacity, now);
}

bool cold_limits::is_discovering(time_point now) const
{
    return !started_at_ || now - *started_at_ < discovery_time;
}

bool cold_limits::is_stale(time_point now) const
{
    return now - gateways_set_at_ > longest_count_age;
}

bool cold_limits::is_sender(const std::string& upstream,
                            const cold_share& share) const
{
    const bool all_send = share.senders >= divisor();
    const auto part = share.senders * ranking_.size() / divisor();
    return part > 0 && (ranking_.knows_itself() || all_send) &&
           ranking_.rank(upstream) < part;
}

void cold_limits::divide_all(time_point now)
{
    for (auto& [upstream, known] : records_)
        divide(upstream, known, now);
}

bool cold_limits::record(const std::string& upstream,
                         const std::string& service, cold_source source,
                         time_point until, time_point now)
{
    if (!enabled())
        return false;
    until = std::min(until, now + max_cold_time);
    const bool was_cold = find_cold(upstream, now) != nullptr;
    if (!was_cold && until <= now)
        return false;
    auto& known = records_[upstream];
    const bool is_answer =
        source == cold_source::answered || source == cold_source::crashed;
    (is_answer ? known.answered_until : known.listed_until) = until;
    if (was_cold && known.service == service)
        return false;
    known.service = service;
    known.share = {};
    known.sends = false;
    known.sends_from = {};
    known.bucket = token_bucket(0, now);
    divide(upstream, known, now);
    return !was_cold;
}

std::vector<std::string> cold_limits::remove_warm(time_point now)
{
    std::vector<std::string> warm;
    std::erase_if(records_, [&](const auto& entry) {
        if (entry.second.until() > now)
            return false;
        warm.push_back(entry.first);
        return true;
    });
    return warm;
}

const cold_limits::record_state*
cold_limits::find_cold(const std::string& upstream, time_point now) const
{
    if (records_.empty())
        return nullptr;
    const auto known = records_.find(upstream);
    const bool is_cold = known != records_.end() && known->second.until() > now;
    return is_cold ? &known->second : nullptr;
}

milliseconds cold_limits::cold_left(const std::string& upstream,
                                    time_point now) const
{
    const auto* const known = find_cold(upstream, now);
    return known != nullptr ? time_left(known->until(), now) : milliseconds(0);
}

std::optional<double> cold_limits::limit_of(const std::string& upstream,
                                            time_point now) const
{
    const auto* const known = find_cold(upstream, now);
    const double limit = known != nullptr ? rate_of(known->service) : -1;
    return limit >= 0 ? std::optional(limit) : std::nullopt;
}

std::size_t cold_limits::count(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(
        records_.begin(), records_.end(),
        [now](const auto& entry) { return entry.second.until() > now; }));
}

milliseconds cold_limits::time_to_room(const std::string& upstream,
                                       time_point now) const
{
    const auto* const known = find_cold(upstream, now);
    // A service without a rate does not limit its cold upstreams.
    if (known == nullptr || rate_of(known->service) < 0)
        return milliseconds(0);
    if (!known->sends || is_stale(now))
        return time_between_returns(upstream, now);
    const double missing =
        1 -
        known->bucket.tokens_at(known->share.rate, known->share.capacity, now);
    if (missing <= 0)
        return milliseconds(0);
    const auto wait = milliseconds(static_cast<std::int64_t>(
        std::ceil(missing / known->share.rate * 1000)));
    return std::min(wait,
                    std::max(milliseconds(1), time_left(known->until(), now)));
}

milliseconds cold_limits::time_between_returns(const std::string& upstream,
                                               time_point now) const
{
    const auto* const known = find_cold(upstream, now);
    if (known == nullptr)
        return milliseconds(0);
    const auto left = std::max(milliseconds(1), time_left(known->until(), now));
    const double rate = total_rate(known->share);
    if (rate <= 0)
        return left;
    const double seconds = static_cast<double>(divisor()) / rate;
    if (seconds * 1000 >= static_cast<double>(left.count()))
        return left;
    return milliseconds(
        std::max<std::int64_t>(1, std::llround(seconds * 1000)));
}

void cold_limits::record_send(const std::string& upstream, time_point now)
{
    if (find_cold(upstream, now) == nullptr)
        return;
    auto& known = records_.at(upstream);
    fill(known, now);
    known.bucket.take(1);
}

} // namespace cyclamenrun

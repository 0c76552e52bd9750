#include "shared_retry_budget.hpp"

#include <algorithm>
#include <numeric>

namespace cyclamenrun
{

namespace
{

/**
 * Fractions of the fixed part: kept for bursts, and flowing in over a window.
 * The rest allows for repeats that arrive later than they are sent.
 */
constexpr double kept_share = 0.45;
constexpr double inflow_share = 0.45;
/** A gateway that has found no other may be one of many that are cut off. */
constexpr unsigned least_divisor = 8;
/** A refused repeat is tried again within this time if its work goes on. */
constexpr milliseconds shortage_time{300};
/** There are few services; bounds the table if their names keep changing. */
constexpr std::size_t max_services = 1024;
/** Bounds what is remembered of loans and refusals. */
constexpr std::size_t max_entries = 256;

template <typename Amounts>
void remove_expired(Amounts& amounts, boot_time now)
{
    std::erase_if(amounts,
                  [now](const auto& each) { return each.until <= now; });
}

template <typename Amounts>
double sum_of(const Amounts& amounts)
{
    return std::accumulate(
        amounts.begin(), amounts.end(), 0.0,
        [](double sum, const auto& each) { return sum + each.amount; });
}

} // namespace

void shared_retry_budget::set_gateway_count(unsigned count, boot_time now)
{
    // What has flowed in so far was divided by the number until now.
    for (auto& [service, each] : buckets_)
        refill(each, now);
    gateway_count_ = count;
}

unsigned shared_retry_budget::divisor() const
{
    return std::max(gateway_count_, least_divisor);
}

double shared_retry_budget::capacity() const
{
    return kept_share * settings_.extra / divisor();
}

double shared_retry_budget::total(const bucket& counted)
{
    return counted.level + sum_of(counted.borrowed);
}

double shared_retry_budget::available(const bucket& counted)
{
    return total(counted) - counted.reserved;
}

shared_retry_budget::bucket&
shared_retry_budget::bucket_of(const std::string& service, boot_time now)
{
    auto found = buckets_.find(service);
    if (found == buckets_.end()) {
        // Forgotten buckets are empty, as those of a new process are.
        if (buckets_.size() >= max_services) {
            buckets_.clear();
            started_ = now;
        }
        found = buckets_.try_emplace(service).first;
        found->second.refilled_at = started_;
    }
    refill(found->second, now);
    return found->second;
}

void shared_retry_budget::add(bucket& filled, double amount) const
{
    const double room = capacity() - sum_of(filled.lent);
    filled.level = std::min(filled.level + amount, std::max(room, 0.0));
}

void shared_retry_budget::refill(bucket& refilled, boot_time now) const
{
    remove_expired(refilled.borrowed, now);
    remove_expired(refilled.lent, now);
    const auto since =
        std::max(now - refilled.refilled_at, boot_clock::duration::zero());
    const auto windows = std::chrono::duration<double>(since) /
                         std::chrono::duration<double>(settings_.window);
    add(refilled, windows * inflow_share * settings_.extra / divisor());
    refilled.refilled_at = now;
}

void shared_retry_budget::record_request(const std::string& service,
                                         boot_time now)
{
    add(bucket_of(service, now), settings_.share);
}

double shared_retry_budget::remaining(const std::string& service, boot_time now)
{
    return available(bucket_of(service, now));
}

bool shared_retry_budget::try_reserve(const std::string& service,
                                      repeat_urgency urgency, boot_time now)
{
    auto& from = bucket_of(service, now);
    const bool urgent = urgency == repeat_urgency::urgent;
    if (available(from) >= 1 && (urgent || shortage(service, now) == 0)) {
        ++from.reserved;
        return true;
    }
    std::erase_if(from.refusals,
                  [now](boot_time at) { return now - at >= shortage_time; });
    if (urgent && from.refusals.size() < max_entries)
        from.refusals.push_back(now);
    return false;
}

void shared_retry_budget::release(const std::string& service)
{
    const auto found = buckets_.find(service);
    if (found != buckets_.end() && found->second.reserved > 0)
        --found->second.reserved;
}

bool shared_retry_budget::spend(const std::string& service, boot_time now)
{
    auto& from = bucket_of(service, now);
    release(service);
    if (total(from) < 1)
        return false;
    double left = 1;
    for (auto& each : from.borrowed) {
        const double taken = std::min(left, each.amount);
        each.amount -= taken;
        left -= taken;
    }
    from.level -= left;
    return true;
}

std::vector<std::string>
shared_retry_budget::short_services(boot_time now) const
{
    std::vector<std::string> services;
    for (const auto& [service, each] : buckets_)
        if (shortage(service, now) > 0)
            services.push_back(service);
    return services;
}

unsigned shared_retry_budget::shortage(const std::string& service,
                                       boot_time now) const
{
    const auto found = buckets_.find(service);
    if (found == buckets_.end())
        return 0;
    const auto& refusals = found->second.refusals;
    return static_cast<unsigned>(
        std::count_if(refusals.begin(), refusals.end(), [now](boot_time at) {
            return now - at < shortage_time;
        }));
}

double shared_retry_budget::lend(const std::string& service, double wanted,
                                 boot_time now)
{
    auto& from = bucket_of(service, now);
    const double own = from.level - from.reserved;
    const double amount = std::min(wanted, own);
    if (amount <= 0 || shortage(service, now) > 0 ||
        from.lent.size() >= max_entries)
        return 0;
    from.level -= amount;
    from.lent.push_back({amount, now + loan_time});
    return amount;
}

void shared_retry_budget::borrow(const std::string& service, double amount,
                                 boot_time requested_at, boot_time now)
{
    // Counted from the request, which was sent before the lender counts.
    const auto until = requested_at + loan_time;
    auto& to = bucket_of(service, now);
    if (until > now && to.borrowed.size() < max_entries)
        to.borrowed.push_back({amount, until});
}

} // namespace cyclamenrun

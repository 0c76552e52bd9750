#include "shared_retry_budget.hpp"

namespace cyclamenrun
{

namespace
{

/**
 * Fraction of the budget that is used. The rest allows for windows that do not
 * coincide and for gateways that learn late how many share the budget.
 */
constexpr double used_share = 0.8;
/** There are few services; bounds the table if their names keep changing. */
constexpr std::size_t max_services = 1024;

} // namespace

shared_retry_budget::service_counts&
shared_retry_budget::counts_of(const std::string& service)
{
    const auto found = services_.find(service);
    if (found != services_.end())
        return found->second;
    if (services_.size() >= max_services)
        services_.clear();
    return services_
        .emplace(service, service_counts{window_counter(settings_.window),
                                         window_counter(settings_.window)})
        .first->second;
}

void shared_retry_budget::record_request(const std::string& service,
                                         time_point now)
{
    counts_of(service).requests.add(now);
}

double shared_retry_budget::remaining(const std::string& service,
                                      time_point now)
{
    auto& counts = counts_of(service);
    const double earned =
        settings_.share * static_cast<double>(counts.requests.count(now)) +
        settings_.extra / gateway_count_;
    return used_share * earned - static_cast<double>(counts.retries.count(now));
}

bool shared_retry_budget::try_retry(const std::string& service, time_point now)
{
    if (remaining(service, now) < 1)
        return false;
    counts_of(service).retries.add(now);
    return true;
}

void shared_retry_budget::record_forced_retry(const std::string& service,
                                              time_point now)
{
    counts_of(service).retries.add(now);
}

} // namespace cyclamenrun

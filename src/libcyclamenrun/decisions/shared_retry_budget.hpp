#ifndef CYCLAMENRUN_SHARED_RETRY_BUDGET_HPP
#define CYCLAMENRUN_SHARED_RETRY_BUDGET_HPP

#include "clock.hpp"
#include "window_counter.hpp"

#include <string>
#include <unordered_map>

namespace cyclamenrun
{

struct retry_budget_settings {
    /** Retries allowed for each request in the window. */
    double share = 0.2;
    /** Additional retries allowed in a window, over all gateways. */
    double extra = 50;
    milliseconds window{10000};
};

/**
 * This process's part of a retry budget per service that all gateways share,
 * so that retries can't multiply the load on upstreams that fail. Each gateway
 * earns retries by its own requests, and the fixed part is divided by the
 * number of gateways, so that a retry needs no communication between them.
 * Not thread-safe, no I/O.
 */
class shared_retry_budget
{
public:
    explicit shared_retry_budget(retry_budget_settings settings)
        : settings_(settings)
    {
    }

    unsigned gateway_count() const { return gateway_count_; }
    /** Sets the number of gateways that share the budget. */
    void set_gateway_count(unsigned count)
    {
        gateway_count_ = count > 0 ? count : 1;
    }

    void record_request(const std::string& service, time_point now);
    /** Spends one retry; false if the budget is exhausted. */
    bool try_retry(const std::string& service, time_point now);
    /** Retries left in the budget; negative after too many forced retries. */
    double remaining(const std::string& service, time_point now);
    /** Counts a retry that must be made, such as a move of a generation. */
    void record_forced_retry(const std::string& service, time_point now);

private:
    struct service_counts {
        window_counter requests;
        window_counter retries;
    };

    service_counts& counts_of(const std::string& service);

    retry_budget_settings settings_;
    unsigned gateway_count_ = 8; ///< until set; a number too high is safe
    std::unordered_map<std::string, service_counts> services_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SHARED_RETRY_BUDGET_HPP

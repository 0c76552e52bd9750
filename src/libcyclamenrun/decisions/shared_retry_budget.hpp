#ifndef CYCLAMENRUN_SHARED_RETRY_BUDGET_HPP
#define CYCLAMENRUN_SHARED_RETRY_BUDGET_HPP

#include "clock.hpp"
#include "window_counter.hpp"

#include <string>
#include <unordered_map>

namespace cyclamenrun
{

struct retry_budget_settings {
    /** Arrivals beyond the first, for each request of the window. */
    double share = 0.2;
    /** Further ones in a window, over all processes. */
    double extra = 50;
    milliseconds window{10000};
};

/**
 * This process's part of a budget of retries that all gateways share, for
 * each service, so that retries can't multiply the load on upstreams that
 * fail. Each gateway earns by the requests that it serves itself, and the
 * fixed part is divided by the number of gateways, so that nothing has to be
 * asked of others for a retry. Not thread-safe, no I/O.
 */
class shared_retry_budget
{
public:
    explicit shared_retry_budget(retry_budget_settings settings)
        : settings_(settings)
    {
    }

    unsigned sharers() const { return sharers_; }
    /** How many gateways share the budget now. */
    void set_sharers(unsigned count) { sharers_ = count > 0 ? count : 1; }

    void request(const std::string& service, time_point now);
    /** Takes one retry; false when the budget is spent. */
    bool try_retry(const std::string& service, time_point now);
    /** Retries that could be made now. */
    double left(const std::string& service, time_point now);
    /** An arrival that can't be forgone, such as a move of a generation. */
    void forced(const std::string& service, time_point now);

private:
    struct service_counts {
        window_counter requests;
        window_counter retries;
    };

    service_counts& counts_of(const std::string& service);

    retry_budget_settings settings_;
    unsigned sharers_ = 8; ///< until it is known; too many is safe
    std::unordered_map<std::string, service_counts> services_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SHARED_RETRY_BUDGET_HPP

#ifndef CYCLAMENRUN_RETRY_BUDGET_HPP
#define CYCLAMENRUN_RETRY_BUDGET_HPP

#include <cstddef>
#include <string>
#include <unordered_map>

namespace cyclamenrun
{

/**
 * Limits each team's retries to a share of its requests, so that they do not
 * multiply the load on the remaining upstreams when others fail. Each request
 * earns a fraction of a retry; unused fractions accumulate up to `burst`.
 * Bounded: beyond `max_teams` the budgets of all teams are reset.
 */
class retry_budget
{
public:
    retry_budget(double share, double burst, std::size_t max_teams);

    void record_request(const std::string& team);
    /** Spends one retry; false if the budget is exhausted. */
    bool try_retry(const std::string& team);

    std::size_t size() const { return retries_left_.size(); }

private:
    double& retries_of(const std::string& team);

    double share_;
    double burst_;
    std::size_t max_teams_;
    std::unordered_map<std::string, double> retries_left_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_RETRY_BUDGET_HPP

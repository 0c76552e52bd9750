#ifndef CYCLAMENRUN_RETRY_BUDGET_HPP
#define CYCLAMENRUN_RETRY_BUDGET_HPP

#include <cstddef>
#include <string>
#include <unordered_map>

namespace cyclamenrun
{

/**
 * Keeps retries a fixed share of requests, per team, so that when upstreams
 * fail the system's own retries don't multiply the load on what is left.
 * Each request earns a part of a retry; unused parts are kept up to a burst.
 * Bounded: beyond `max_teams` all teams start anew.
 */
class retry_budget
{
public:
    retry_budget(double share, double burst, std::size_t max_teams);

    void request(const std::string& team);
    /** Takes one retry; false when the budget is spent. */
    bool try_retry(const std::string& team);

    std::size_t size() const { return tokens_.size(); }

private:
    double& tokens_of(const std::string& team);

    double share_;
    double burst_;
    std::size_t max_teams_;
    std::unordered_map<std::string, double> tokens_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_RETRY_BUDGET_HPP

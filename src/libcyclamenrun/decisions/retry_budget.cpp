#include "retry_budget.hpp"

#include <algorithm>

namespace cyclamenrun
{

retry_budget::retry_budget(double share, double burst, std::size_t max_teams)
    : share_(share), burst_(burst), max_teams_(max_teams)
{
}

double& retry_budget::retries_of(const std::string& team)
{
    const auto found = retries_left_.find(team);
    if (found != retries_left_.end())
        return found->second;
    if (retries_left_.size() >= max_teams_)
        retries_left_.clear();
    return retries_left_.emplace(team, burst_).first->second;
}

void retry_budget::record_request(const std::string& team)
{
    double& retries = retries_of(team);
    retries = std::min(retries + share_, burst_);
}

bool retry_budget::try_retry(const std::string& team)
{
    double& retries = retries_of(team);
    if (retries < 1.0)
        return false;
    retries -= 1.0;
    return true;
}

} // namespace cyclamenrun

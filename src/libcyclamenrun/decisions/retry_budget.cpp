#include "retry_budget.hpp"

#include <algorithm>

namespace cyclamenrun
{

retry_budget::retry_budget(double share, double burst, std::size_t max_teams)
    : share_(share), burst_(burst), max_teams_(max_teams)
{
}

double& retry_budget::tokens_of(const std::string& team)
{
    const auto found = tokens_.find(team);
    if (found != tokens_.end())
        return found->second;
    if (tokens_.size() >= max_teams_)
        tokens_.clear();
    return tokens_.emplace(team, burst_).first->second;
}

void retry_budget::record_request(const std::string& team)
{
    double& tokens = tokens_of(team);
    tokens = std::min(tokens + share_, burst_);
}

bool retry_budget::try_retry(const std::string& team)
{
    double& tokens = tokens_of(team);
    if (tokens < 1.0)
        return false;
    tokens -= 1.0;
    return true;
}

} // namespace cyclamenrun

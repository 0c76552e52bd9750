#include "suspicion_domain_cut.hpp"

#include <algorithm>

namespace cyclamenrun
{

void suspicion_domain_cut::on_suspected(const std::string& domain,
                                        const std::string& upstream,
                                        time_point now)
{
    domain_state& state = domains_[domain];
    state.suspects[upstream] = now;
    weigh(state, now);
}

void suspicion_domain_cut::on_cleared(const std::string& domain,
                                      const std::string& upstream)
{
    const auto found = domains_.find(domain);
    if (found == domains_.end())
        return;
    domain_state& state = found->second;
    state.suspects.erase(upstream);
    if (state.suspects.size() < needed(state))
        state.cut = false;
}

void suspicion_domain_cut::on_known(const std::string& domain,
                                    std::size_t count)
{
    if (count == 0)
        domains_.erase(domain);
    else
        domains_[domain].known = count;
}

bool suspicion_domain_cut::is_cut(const std::string& domain) const
{
    const auto found = domains_.find(domain);
    return found != domains_.end() && found->second.cut;
}

std::size_t suspicion_domain_cut::needed(const domain_state& domain)
{
    return std::max<std::size_t>(2, (domain.known + 1) / 2);
}

void suspicion_domain_cut::weigh(domain_state& domain, time_point now)
{
    const auto together = static_cast<std::size_t>(std::count_if(
        domain.suspects.begin(), domain.suspects.end(),
        [now](const auto& suspect) { return suspect.second + at_once > now; }));
    domain.cut = domain.cut || together >= needed(domain);
}

} // namespace cyclamenrun

#include "domain_cut_detector.hpp"

#include <algorithm>

namespace cyclamenrun
{

void domain_cut_detector::on_suspected(const std::string& domain,
                                       const std::string& upstream,
                                       time_point now)
{
    domain_state& state = domains_[domain];
    state.suspects[upstream] = now;
    update_cut(state, now);
}

void domain_cut_detector::on_cleared(const std::string& domain,
                                     const std::string& upstream)
{
    const auto found = domains_.find(domain);
    if (found == domains_.end())
        return;
    domain_state& state = found->second;
    state.suspects.erase(upstream);
    if (state.suspects.size() < suspects_needed(state))
        state.cut = false;
}

void domain_cut_detector::set_known_upstreams(const std::string& domain,
                                              std::size_t count)
{
    if (count == 0)
        domains_.erase(domain);
    else
        domains_[domain].known = count;
}

bool domain_cut_detector::is_cut_off(const std::string& domain) const
{
    const auto found = domains_.find(domain);
    return found != domains_.end() && found->second.cut;
}

std::size_t domain_cut_detector::suspects_needed(const domain_state& domain)
{
    return std::max<std::size_t>(2, (domain.known + 1) / 2);
}

void domain_cut_detector::update_cut(domain_state& domain, time_point now)
{
    const auto recent_suspects = static_cast<std::size_t>(
        std::count_if(domain.suspects.begin(), domain.suspects.end(),
                      [now](const auto& suspect) {
                          return suspect.second + suspect_window > now;
                      }));
    domain.cut = domain.cut || recent_suspects >= suspects_needed(domain);
}

} // namespace cyclamenrun

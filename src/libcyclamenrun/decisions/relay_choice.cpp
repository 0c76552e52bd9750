#include "relay_choice.hpp"

#include "digest.hpp"

#include <algorithm>
#include <cstdint>
#include <set>
#include <utility>

namespace cyclamenrun
{

namespace
{

/** If one relay fails, its gateways use the other. */
constexpr std::size_t min_relays = 2;
/** A relay serves this many gateways at 0.5% of a core. */
constexpr std::size_t gateways_per_relay = 128;

using ranked_candidates =
    std::vector<std::pair<std::uint64_t, const relay_candidate*>>;

ranked_candidates rank(const std::vector<relay_candidate>& candidates)
{
    ranked_candidates ranked;
    ranked.reserve(candidates.size());
    for (const auto& candidate : candidates)
        ranked.emplace_back(hash64(candidate.host), &candidate);
    std::sort(ranked.begin(), ranked.end());
    return ranked;
}

} // namespace

std::size_t relay_count(std::size_t gateways)
{
    return std::max(min_relays,
                    (gateways + gateways_per_relay - 1) / gateways_per_relay);
}

std::vector<std::string>
choose_relays(const std::vector<relay_candidate>& candidates,
              std::string_view gateway, std::size_t count)
{
    const auto ranked = rank(candidates);
    std::vector<std::string> chosen;
    std::set<std::string> domains;
    const auto add_candidates = [&](bool new_domain) {
        for (const auto& [score, candidate] : ranked) {
            const bool is_chosen = std::find(chosen.begin(), chosen.end(),
                                             candidate->host) != chosen.end();
            const bool domain_used =
                domains.contains(candidate->failure_domain);
            if (chosen.size() == count || is_chosen ||
                (new_domain && domain_used))
                continue;
            chosen.push_back(candidate->host);
            domains.insert(candidate->failure_domain);
        }
    };
    add_candidates(true);
    add_candidates(false);
    const auto seed = hash64(gateway);
    std::sort(chosen.begin(), chosen.end(),
              [&](const std::string& left, const std::string& right) {
                  return hash64(left, seed) < hash64(right, seed);
              });
    return chosen;
}

} // namespace cyclamenrun

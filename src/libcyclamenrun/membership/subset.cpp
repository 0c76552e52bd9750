#include "subset.hpp"

#include "digest.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

namespace cyclamenrun
{

namespace
{

/** Upstreams of one failure domain, highest rendezvous hash first. */
struct ranked_domain {
    std::vector<std::pair<std::uint64_t, const vm*>> ranked;
    std::size_t quota = 0;
    std::size_t remainder = 0;
    std::uint64_t tie_break = 0;
};

using domain_name = std::pair<std::string, std::string>; // region, domain

std::map<domain_name, ranked_domain>
rank_by_domain(std::string_view entry, const std::vector<vm>& upstreams)
{
    const std::uint64_t seed = hash64(entry);
    std::map<domain_name, ranked_domain> domains;
    for (const auto& upstream : upstreams)
        domains[{upstream.region, upstream.failure_domain}].ranked.emplace_back(
            hash64(upstream.id, seed), &upstream);
    for (auto& [name, members] : domains) {
        std::sort(members.ranked.rbegin(), members.ranked.rend());
        members.tie_break = hash64(name.second, seed);
    }
    return domains;
}

std::vector<ranked_domain*>
by_remainder(std::map<domain_name, ranked_domain>& domains)
{
    std::vector<ranked_domain*> order;
    order.reserve(domains.size());
    for (auto& [name, members] : domains)
        order.push_back(&members);
    std::sort(order.begin(), order.end(),
              [](const ranked_domain* left, const ranked_domain* right) {
                  return std::pair(left->remainder, left->tie_break) >
                         std::pair(right->remainder, right->tie_break);
              });
    return order;
}

/**
 * Sets quotas by the largest remainder method. Each domain whose quota is 0
 * then takes one place from the domain with the largest quota, as long as that
 * quota is at least 2.
 */
void set_quotas(std::map<domain_name, ranked_domain>& domains,
                std::size_t upstreams, std::size_t size)
{
    std::size_t assigned = 0;
    for (auto& [name, members] : domains) {
        const std::size_t share = members.ranked.size() * size;
        members.quota = share / upstreams;
        members.remainder = share % upstreams;
        assigned += members.quota;
    }
    const auto order = by_remainder(domains);
    for (std::size_t i = 0; assigned < size && i < order.size();
         ++i, ++assigned)
        ++order[i]->quota;
    for (auto* members : order) {
        if (members->quota > 0)
            continue;
        auto* const largest = *std::max_element(
            order.begin(), order.end(),
            [](const ranked_domain* left, const ranked_domain* right) {
                return std::pair(left->quota, left->tie_break) <
                       std::pair(right->quota, right->tie_break);
            });
        if (largest->quota < 2)
            return;
        --largest->quota;
        ++members->quota;
    }
}

} // namespace

std::size_t subset_size(const subset_settings& settings, std::size_t upstreams,
                        std::size_t entries)
{
    const std::size_t share =
        entries == 0 ? 0
                     : (upstreams * settings.overlap + entries - 1) / entries;
    return std::min(
        {std::max(settings.min_size, share), settings.max_size, upstreams});
}

std::vector<std::string> choose_subset(std::string_view entry,
                                       const std::vector<vm>& upstreams,
                                       std::size_t size)
{
    size = std::min(size, upstreams.size());
    if (size == 0)
        return {};
    auto domains = rank_by_domain(entry, upstreams);
    set_quotas(domains, upstreams.size(), size);
    std::vector<std::string> chosen;
    for (const auto& [name, members] : domains) {
        for (std::size_t i = 0; i < members.quota; ++i)
            chosen.push_back(members.ranked.at(i).second->id);
    }
    return chosen;
}

} // namespace cyclamenrun

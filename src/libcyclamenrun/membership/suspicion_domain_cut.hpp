#ifndef CYCLAMENRUN_SUSPICION_DOMAIN_CUT_HPP
#define CYCLAMENRUN_SUSPICION_DOMAIN_CUT_HPP

#include "clock.hpp"

#include <string>
#include <unordered_map>

namespace cyclamenrun
{

/**
 * Tells a failure domain that is cut off from single upstreams that died:
 * half of those known there, and at least two, become suspects at about the
 * same time. It heals when fewer than half are suspects.
 */
class suspicion_domain_cut
{
public:
    void on_suspected(const std::string& domain, const std::string& upstream,
                      time_point now);
    void on_cleared(const std::string& domain, const std::string& upstream);

    /** Upstreams of the domain that the entry has had to do with. */
    void on_known(const std::string& domain, std::size_t count);

    bool is_cut(const std::string& domain) const;

    /** Suspects count together when they came within this time. */
    static constexpr milliseconds at_once{15'000};

private:
    struct domain_state {
        std::size_t known = 0;
        std::unordered_map<std::string, time_point> suspects;
        bool cut = false;
    };

    static std::size_t needed(const domain_state& domain);
    static void weigh(domain_state& domain, time_point now);

    std::unordered_map<std::string, domain_state> domains_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SUSPICION_DOMAIN_CUT_HPP

#ifndef CYCLAMENRUN_SUSPICION_DOMAIN_CUT_HPP
#define CYCLAMENRUN_SUSPICION_DOMAIN_CUT_HPP

#include "clock.hpp"

#include <string>
#include <unordered_map>

namespace cyclamenrun
{

/**
 * Distinguishes a failure domain that is cut off from single failed upstreams.
 * A domain counts as cut off when at least half of its known upstreams, and at
 * least two, become suspects at about the same time. The cut ends when fewer
 * are suspects.
 */
class suspicion_domain_cut
{
public:
    void on_suspected(const std::string& domain, const std::string& upstream,
                      time_point now);
    void on_cleared(const std::string& domain, const std::string& upstream);

    /** Sets the number of the domain's upstreams in the entry's subsets. */
    void on_known(const std::string& domain, std::size_t count);

    bool is_cut(const std::string& domain) const;

    /** Upstreams that become suspects within this time count together. */
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

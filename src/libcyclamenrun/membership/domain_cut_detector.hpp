#ifndef CYCLAMENRUN_DOMAIN_CUT_DETECTOR_HPP
#define CYCLAMENRUN_DOMAIN_CUT_DETECTOR_HPP

#include "clock.hpp"

#include <string>
#include <unordered_map>

namespace cyclamenrun
{

/**
 * Distinguishes a failure domain that is cut off from single failed upstreams.
 * A domain counts as cut off when at least half of its known upstreams, and at
 * least two, become suspects within `suspect_window`. It counts as connected
 * again when a suspect is cleared and fewer suspects than that remain.
 */
class domain_cut_detector
{
public:
    void on_suspected(const std::string& domain, const std::string& upstream,
                      time_point now);
    void on_cleared(const std::string& domain, const std::string& upstream);

    /**
     * Sets the number of the domain's upstreams in the entry's subsets. A count
     * of 0 removes the domain.
     */
    void set_known_upstreams(const std::string& domain, std::size_t count);

    bool is_cut_off(const std::string& domain) const;

    /** Upstreams that become suspects within this time count together. */
    static constexpr milliseconds suspect_window{15'000};

private:
    struct domain_state {
        std::size_t known = 0;
        std::unordered_map<std::string, time_point> suspects;
        bool cut = false;
    };

    static std::size_t suspects_needed(const domain_state& domain);
    static void update_cut(domain_state& domain, time_point now);

    std::unordered_map<std::string, domain_state> domains_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_DOMAIN_CUT_DETECTOR_HPP

#ifndef CYCLAMENRUN_EVACUATED_DOMAINS_HPP
#define CYCLAMENRUN_EVACUATED_DOMAINS_HPP

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace cyclamenrun
{

/** A failure domain whose evacuation begins or ends. */
struct evacuation_change {
    std::string failure_domain;
    bool evacuated = false; ///< false: the evacuation has ended

    bool operator==(const evacuation_change&) const = default;
};

/**
 * The failure domains to whose upstreams nothing is sent, on request of an
 * operator. Follows the directory's records in the order of their offsets, so
 * that an older page changes nothing, whichever way it comes by. Does no I/O.
 */
class evacuated_domains
{
public:
    struct outcome {
        /** What has changed, one for each domain, in order of their names. */
        std::vector<evacuation_change> changes;
        /** Domains beyond `max_evacuated_domains`; they are not evacuated. */
        std::vector<std::string> ignored;
    };

    /**
     * Applies a page of records in the order of the log. `whole`: the page has
     * all evacuations, and those of other domains end. `next_offset`: of the
     * record that follows the page.
     */
    outcome update(const std::vector<evacuation_change>& records, bool whole,
                   std::uint64_t next_offset);
    /**
     * Another directory is followed, with offsets of its own. The evacuations
     * stay until its first whole page.
     */
    void follow_other_log() { next_offset_ = 0; }

    bool contains(const std::string& failure_domain) const
    {
        return !domains_.empty() && domains_.contains(failure_domain);
    }
    std::size_t size() const { return domains_.size(); }
    const std::set<std::string>& domains() const { return domains_; }

private:
    std::set<std::string> domains_;
    std::uint64_t next_offset_ = 0; ///< the largest one of a page
};

/** A deployment has a few domains; what goes beyond this is an error. */
inline constexpr std::size_t max_evacuated_domains = 1024;

} // namespace cyclamenrun

#endif // CYCLAMENRUN_EVACUATED_DOMAINS_HPP

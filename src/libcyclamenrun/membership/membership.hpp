#ifndef CYCLAMENRUN_MEMBERSHIP_HPP
#define CYCLAMENRUN_MEMBERSHIP_HPP

#include "candidate.hpp"
#include "clock.hpp"
#include "domain_cut_detector.hpp"
#include "subset.hpp"
#include "upstream_view.hpp"
#include "vm_list.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenrun
{

struct membership_settings {
    std::string entry; ///< id of the entry's own VM
    /** Service name of entries in the list. */
    std::string entry_service = "entry";
    subset_settings subset;
    /**
     * How long an upstream can still be found after it left the list, so that
     * generations can be resumed.
     */
    milliseconds forget_after{600'000};
    /**
     * How long lists of a lower revision are rejected after a list was
     * accepted.
     */
    milliseconds reject_older_lists_for{30'000};
};

/** How a list from the platform was handled. */
enum class list_result : std::uint8_t {
    taken,          ///< accepted
    kept_for_empty, ///< rejected: empty, assumed to be the platform's fault
    kept_for_older, ///< rejected: assumed to be from a lagging replica
    cut_short,      ///< accepted only up to membership::max_vms
};

std::string_view name_of(list_result result);

/**
 * One entry's view of the upstreams, from the platform's lagging list and from
 * the agents' reports and failures. An upstream counts as leaving as soon as
 * either source reports it. New work goes to a bounded subset of each service's
 * upstreams, but any listed upstream can be found, so that a generation can be
 * resumed through any entry. Thread-safe: views are sharded, with one lock for
 * each shard.
 */
class membership
{
public:
    explicit membership(membership_settings settings);

    /**
     * Applies a list from the platform. The last accepted list stays in effect
     * while the list service is unavailable.
     */
    list_result on_list(const vm_list& list, time_point now);

    void on_connected(const std::string& upstream);
    void on_connection_lost(const std::string& upstream, time_point now);
    void on_missed_heartbeat(const std::string& upstream, time_point now);
    /**
     * Records that the agent of the upstream was lost while it had work of
     * this entry.
     */
    void on_failure(const std::string& upstream, time_point now);
    /** Handles the report that comes with an answer or heartbeat reply. */
    void on_reply(const std::string& upstream, const agent_report& report,
                  time_point now);

    /** Upstreams of the subset that may receive new work, suspects included. */
    std::vector<candidate> candidates(const std::string& service) const;

    /** Returns any known upstream, also one outside the subset. */
    std::optional<candidate> find(const std::string& upstream) const;

    /** The subsets of all services: upstreams to keep connections to. */
    std::vector<candidate> subset() const;

    /** Ids of this entry and of the entries that are live in the list. */
    std::vector<std::string> entries() const;

    /**
     * Whether the failure domain is cut off: many of its upstreams were lost
     * at once, so no single upstream is at fault.
     */
    bool is_cut_off(const std::string& failure_domain) const;

    /** Bound on the VMs of a list; further ones are ignored. */
    static constexpr std::size_t max_vms = 8192;

private:
    static constexpr std::size_t shard_count = 16;

    struct shard {
        mutable std::mutex mutex;
        std::unordered_map<std::string, upstream_view> views;
    };

    using member_list = std::vector<std::string>;
    using member_lists = std::map<std::string, member_list>; // by service

    const shard& shard_of(const std::string& upstream) const;
    shard& shard_of(const std::string& upstream);
    list_result check_list(const vm_list& list, time_point now) const;
    void update_views(const std::vector<vm>& vms, time_point now);
    void choose_subsets();
    void update_domain_sizes(const member_lists& chosen,
                             const std::map<std::string, vm>& members);
    std::shared_ptr<const member_lists> subsets() const;
    void append_known(std::vector<candidate>& found,
                      const member_list& members) const;

    template <typename Change>
    void update_view(const std::string& upstream, time_point now,
                     Change change);
    void record_suspicion(const vm& listed, bool suspected, time_point now);

    membership_settings settings_;
    std::array<shard, shard_count> shards_;

    mutable std::mutex list_mutex_; ///< guards the next four members
    std::uint64_t list_revision_ = 0;
    time_point list_accepted_at_{};
    std::vector<vm> listed_;
    std::shared_ptr<const member_lists> subsets_;

    mutable std::mutex domain_cuts_mutex_; ///< guards domain_cuts_
    domain_cut_detector domain_cuts_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_MEMBERSHIP_HPP

#ifndef CYCLAMENRUN_MEMBERSHIP_HPP
#define CYCLAMENRUN_MEMBERSHIP_HPP

#include "candidate.hpp"
#include "clock.hpp"
#include "subset.hpp"
#include "suspicion_domain_cut.hpp"
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
    std::string entry;                   ///< id of the entry's own VM
    std::string entry_service = "entry"; ///< of entries in the list
    subset_settings subset;
    milliseconds forget_after{600'000}; ///< unlisted upstreams, for resumes
    milliseconds older_list_for{30'000};
};

/** What became of a list that the platform gave. */
enum class list_result : std::uint8_t {
    taken,
    kept_for_empty, ///< it held nothing: taken as the platform's fault
    kept_for_older, ///< a lagging copy of the service gave it
    cut_short,      ///< it was over the bound: only the first were taken
};

std::string_view name_of(list_result result);

/**
 * What one entry makes of who is there: the platform's lagging list, and what
 * agents say and do. Whichever first says that an upstream is leaving is
 * believed. Keeps to a bounded subset of the agents of each service; any
 * upstream in the list can be found, so that a generation is resumed through
 * any entry. Safe for threads: views lie in shards, each under its own lock.
 */
class membership
{
public:
    explicit membership(membership_settings settings);

    /** While the list is out, there is nothing to call: the last one holds. */
    list_result on_list(const vm_list& list, time_point now);

    void on_connected(const std::string& upstream);
    void on_connection_lost(const std::string& upstream, time_point now);
    void on_missed_heartbeat(const std::string& upstream, time_point now);
    /** Refused or left unanswered, for reasons other than load. */
    void on_failure(const std::string& upstream, time_point now);
    /** Any answer or heartbeat reply. */
    void on_reply(const std::string& upstream, const agent_report& report,
                  time_point now);

    /** Those of the subset that may be given new work; suspects are named. */
    std::vector<candidate> candidates(const std::string& service) const;

    /** Where any upstream is, also outside the subset; empty: unknown. */
    std::optional<candidate> find(const std::string& upstream) const;

    /** Upstreams to hold connections to: the subsets of all services. */
    std::vector<candidate> subset() const;

    /** Live entries by the list, this one among them. */
    std::vector<std::string> entries() const;

    /** Many there were lost at once: no upstream of it is to blame. */
    bool is_cut(const std::string& failure_domain) const;

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
    list_result judge(const vm_list& list, time_point now) const;
    void take_views(const std::vector<vm>& vms, time_point now);
    void choose_subsets();
    void count_domains(const member_lists& chosen,
                       const std::map<std::string, vm>& members);
    std::shared_ptr<const member_lists> subsets() const;
    void add_known(std::vector<candidate>& found,
                   const member_list& members) const;

    template <typename Change>
    void change_view(const std::string& upstream, time_point now,
                     Change change);
    void note_suspicion(const vm& listed, bool suspected, time_point now);

    membership_settings settings_;
    std::array<shard, shard_count> shards_;

    mutable std::mutex list_mutex_; ///< guards what follows, to cut_
    std::uint64_t list_revision_ = 0;
    time_point list_taken_at_{};
    std::vector<vm> listed_;
    std::shared_ptr<const member_lists> subsets_;

    mutable std::mutex cut_mutex_;
    suspicion_domain_cut cut_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_MEMBERSHIP_HPP

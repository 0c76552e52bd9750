#ifndef CYCLAMENRUN_UPSTREAM_REGISTRY_HPP
#define CYCLAMENRUN_UPSTREAM_REGISTRY_HPP

#include "address_owners.hpp"
#include "clock.hpp"
#include "placement.hpp"
#include "process_watch.hpp"
#include "upstream_record.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenrun
{

/** State of one upstream as known to or estimated by this gateway. */
struct upstream_state {
    upstream_record record;
    /** The upstream gets no new work; running work continues. */
    bool leaving = false;
    std::optional<time_point> leaves_at; ///< empty: unknown
    /**
     * Removed from the directory, or not listed by it in time. This state is
     * kept until this gateway's requests at the upstream have ended.
     */
    bool removed = false;
    /** Another process listens at its address, see address_owners. */
    bool superseded = false;
    /**
     * Set while only a monitor, and not the directory, has reported the
     * upstream. Its service is not known and empty. The upstream is removed at
     * this time unless the directory lists it by then.
     */
    std::optional<time_point> monitor_only_until;
    /**
     * Set if the directory removed the upstream just after an outage of the
     * directory. The upstream is removed at this time unless the directory
     * lists it by then.
     */
    std::optional<time_point> unconfirmed_until;
    process_watch process; ///< whether it is the one that is listed
    std::optional<engine_load> load;
    time_point load_at{}; ///< when `load` arrived
    /** Requests of this gateway that run at the upstream. */
    unsigned own_running = 0;
    /** Set after a failed connection; not tried again before this time. */
    time_point unreachable_until{};
    double failure_rate = 0; ///< moving average; decays with time
    time_point failure_rate_updated_at{};

    struct dispatch {
        time_point at;
        std::uint64_t prompt_tokens;
    };
    /** Dispatches of this gateway that the latest load may not include. */
    std::deque<dispatch> unreported;
};

/**
 * Estimated sums over the upstreams of a service that may get new work. Memory
 * and queue include only upstreams whose load is known.
 */
struct service_totals {
    std::size_t upstreams = 0;
    double free_slots = 0;
    double free_memory_tokens = 0;
    double queued = 0;
};

/**
 * The upstreams of all services: which exist, which are leaving, and how loaded
 * each one is. A load is estimated from the latest load report and from this
 * gateway's dispatches since that report. Does no I/O; used by one thread.
 *
 * Of several upstreams at one address only one can be running: records of its
 * predecessors stay in the directory for seconds, or longer after an outage. A
 * gateway that has just started and used these records could use all permitted
 * sends of a request on predecessors, be rejected by their successor each time,
 * and refuse the request.
 */
class upstream_registry
{
public:
    struct hooks {
        /**
         * Called once when an upstream is first reported as leaving; the time
         * is empty if unknown.
         */
        std::function<void(const std::string& id,
                           std::optional<time_point> leaves_at)>
            leaving;
        /**
         * Called when the state of an upstream was erased: the upstream was
         * removed, or another process uses its id.
         */
        std::function<void(const std::string& id)> erased;
        /**
         * Called if another process uses its id, before the state of the
         * predecessor is erased, or after it was removed and erased.
         */
        std::function<void(const std::string& id)> replaced;
        /** Whether the upstream has said that it leaves; may be empty. */
        std::function<bool(const std::string& id)> has_said_leaving;
        /**
         * Called for each record that the directory lists, before it is
         * applied; may be empty.
         */
        std::function<void(const upstream_record&)> listed = {};
        /**
         * Called before an upstream is added that only a monitor has reported;
         * may be empty. Of its record only the id and address are certain; the
         * rest is its predecessor's.
         */
        std::function<void(const upstream_record&)> unlisted = {};
        /** Whether a service is configured; may be empty: all are. */
        std::function<bool(const std::string& service)> is_configured = {};
        /**
         * Called with an address whose owner should be asked for its identity,
         * see address_owners; may be empty.
         */
        std::function<void(const ip_endpoint&)> contested = {};
    };

    explicit upstream_registry(hooks on)
        : on_(std::move(on)), owners_(on_.is_configured)
    {
    }

    /** Whether an upstream with this id is or was known. */
    bool has_known(const std::string& id) const
    {
        return upstreams_.contains(id) || erased_records_.contains(id) ||
               removed_ids_.contains(id);
    }

    // In the next four, `now` is awake time, see awake_clock: no upstream is
    // judged by records that this process could not read.

    /**
     * Applies one change of the directory. `after_outage`: the directory was
     * unavailable until recently, and records of live upstreams may have
     * expired.
     */
    void apply(const upstream_change& change, time_point now,
               bool after_outage);
    /**
     * Applies a full snapshot of the directory. Upstreams that are not in it
     * are removed or, after an outage and unless they are leaving, marked as
     * unconfirmed. Ones that only a monitor has reported are kept.
     */
    void replace_all(const std::vector<upstream_change>& all, time_point now,
                     bool after_outage);
    /**
     * Removes upstreams that the directory has not listed in time: unconfirmed
     * ones, and ones that only a monitor has reported.
     */
    void remove_unlisted(time_point now);
    /**
     * Handles the id with which the process at an address has responded, by the
     * report of a monitor or by a check of this gateway. Other upstreams there
     * get no new work: requests sent to them would be rejected. One that the
     * directory does not list gets none until it does, since its id does not
     * tell which service it belongs to. Ignores ids that were removed recently.
     */
    void update_identity(const ip_endpoint& address, const std::string& id,
                         time_point now);
    /**
     * Stores the load of the upstream at an address, and whether it leaves, as
     * a monitor or the upstream has just reported them.
     */
    void update_load(const ip_endpoint& address, const engine_load& load,
                     time_point now);

    /** The process of an upstream has named its start after `asked_at`. */
    void record_process_start(const std::string& id, std::int64_t started_ms,
                              time_point asked_at);
    /** A connection to the upstream broke, or could not be made. */
    void record_connection_loss(const std::string& id, time_point now);
    /** The process of this record was found crashed. */
    void record_crash(const upstream_record& upstream, time_point now);
    /** Whether this record still describes the process that has its id. */
    process_standing standing(const upstream_record& upstream,
                              time_point now) const;

    /**
     * Records a request sent to the upstream; record_completion() records its
     * end.
     */
    void record_dispatch(const std::string& id, std::uint64_t prompt_tokens,
                         time_point now);
    /**
     * Adds to the upstream's estimated load a request that will soon be
     * dispatched to it.
     */
    void expect_dispatch(const std::string& id, std::uint64_t prompt_tokens,
                         time_point now);
    /**
     * Records that a dispatched request has ended. Erases a removed upstream
     * when its last request has ended.
     */
    void record_completion(const std::string& id);
    /** Records a success in the failure rate of the upstream. */
    void record_success(const std::string& id, time_point now);
    /** Records a failure in the failure rate of the upstream. */
    void record_failure(const std::string& id, time_point now);
    /** Records that no connection could be made within the timeout. */
    void record_connection_failure(const std::string& id, time_point now);
    void record_connection_success(const std::string& id);
    /** The upstream has said in an answer that it leaves. */
    void record_leaving(const std::string& id);
    /**
     * The process at the upstream's address has rejected a request as meant for
     * another: the upstream gets no new work until it responds as itself.
     */
    void record_misdirected(const std::string& id, time_point now);
    /** The process at an address did not tell its identity. */
    void record_unverified(const ip_endpoint& address);
    bool is_contested(const ip_endpoint& address) const
    {
        return owners_.is_contested(address);
    }
    /** Upstreams whose records name the address. */
    std::vector<const upstream_state*>
    claimants(const ip_endpoint& address) const;
    /** Other services are configured now. */
    void update_services();

    const upstream_state* find(const std::string& id) const;
    /** The upstream that listens at an address, or null. */
    const upstream_state* find_at(const ip_endpoint& address) const;
    /** Upstreams of a service that may get new work. */
    std::vector<const upstream_state*>
    available(const std::string& service) const;
    /**
     * IP addresses of a service's upstreams at which requests of this gateway
     * run.
     */
    std::set<std::string> hosts_in_use(const std::string& service) const;
    std::size_t size() const { return upstreams_.size(); }
    /** Calls a function with the record of each upstream that may still run. */
    template <typename Call>
    void for_each(Call call) const
    {
        for (const auto& [id, state] : upstreams_)
            call(state.record);
    }
    std::set<std::string> services() const;
    service_totals totals(const std::string& service, time_point now) const;

private:
    void add(const upstream_record& record, time_point now);
    void remove(const std::string& id, time_point now, bool after_outage);
    void mark_leaving(upstream_state& upstream,
                      std::optional<time_point> leaves_at);
    void erase(const std::string& id);
    bool has_said_leaving(const std::string& id) const
    {
        return on_.has_said_leaving && on_.has_said_leaving(id);
    }
    /** Whether another process has used the id of the record before. */
    bool replaces_process(const upstream_record& record) const;
    void record_removal(const std::string& id, time_point now);
    /** Adds an upstream at its predecessor's address that is not listed. */
    void add_unlisted(upstream_record predecessor, const std::string& id,
                      time_point now);
    /** Derives which upstreams at the address are superseded. */
    void update_owner(const ip_endpoint& address);
    void update_failure_rate(upstream_state& upstream, double sample,
                             time_point now) const;

    hooks on_;
    std::map<std::string, upstream_state> upstreams_;
    address_owners owners_;
    /** Records of upstreams whose state was erased, by id. */
    std::unordered_map<std::string, upstream_record> erased_records_;
    /** Ids of removed upstreams, and until when each is kept. */
    std::unordered_map<std::string, time_point> removed_ids_;
};

/** True if the upstream's load is known and recent enough to be used. */
bool has_fresh_load(const upstream_state& upstream, time_point now);

/** Properties of a request that placement uses. */
struct placement_request {
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0; ///< expected
    milliseconds objective{0};
    /** Configured memory of an engine; 0 for a service without engines. */
    std::uint64_t engine_memory_tokens = 0;
    std::string from_domain; ///< failure domain of the prompt or memory
    unsigned gateways = 1;   ///< number that send to the same upstreams
    /**
     * Software version that may run it; empty: any. An empty text stands for
     * upstreams that name none.
     */
    std::optional<std::string> version;
    bool solo = false; ///< it may crash the upstream
};

/**
 * Estimated time until the first part of a generation at the upstream; zero
 * for a service without engines, or if no load is known.
 */
milliseconds estimated_time_to_first_part(const upstream_state& upstream,
                                          const placement_request& request,
                                          time_point now);

/**
 * The upstream as a placement candidate, with the request added to its load.
 */
placement_candidate placement_of(const upstream_state& upstream,
                                 const placement_request& request,
                                 time_point now);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_UPSTREAM_REGISTRY_HPP

#ifndef CYCLAMENRUN_ROUTER_HPP
#define CYCLAMENRUN_ROUTER_HPP

#include "candidate.hpp"
#include "load_view.hpp"
#include "objective.hpp"
#include "prefix_cache_view.hpp"
#include "refusal.hpp"
#include "router_settings.hpp"

#include <cstdint>
#include <random>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenrun
{

/** A request to choose an upstream for. */
struct route_request {
    std::string service;
    std::string team;
    std::uint32_t prompt_tokens = 0;
    std::vector<std::uint64_t> prefix_blocks; ///< chained hashes
    bool suspect = false;                     ///< may crash the engine
    std::uint64_t fingerprint = 0;
    std::vector<std::string> excluded; ///< upstreams already tried
    std::string own_failure_domain;
    std::string own_region;
    objective goal = objective::stall_time;
};

/**
 * Chooses the upstream with the least cost in time for a request: the expected
 * wait, the prefill of the part of the prompt that is not cached there, and the
 * network distance. An upstream's load is its last report plus this router's
 * dispatches since. Of many candidates the router compares only a random sample
 * and the upstreams that rendezvous hashing selects for the prompt's prefix.
 * This bounds the cost of a choice and keeps entries from all choosing the same
 * upstream.
 *
 * An entry has one router for each shard of services. Not thread-safe; does no
 * I/O; deterministic for a given seed.
 */
class router
{
public:
    router(router_settings settings, std::uint64_t seed);

    void update_report(const load_report& latest, time_point now);
    /** Handles a cache event of an upstream; events may be late or lost. */
    void record_cached(const std::string& upstream,
                       std::span<const std::uint64_t> blocks);
    /** Handles a cache event, as record_cached() does. */
    void record_eviction(const std::string& upstream, std::uint64_t block);

    void record_dispatch(const std::string& upstream,
                         const route_request& request, time_point now);
    void record_completion(const std::string& upstream, time_point now);
    /** Drops the state of an upstream that was removed. */
    void remove(const std::string& upstream);

    /**
     * Returns an index into `candidates`. Errors: no_upstream if no candidate
     * is usable, queue_full with a retry_after if all are too busy.
     */
    outcome<std::size_t> choose(const route_request& request,
                                std::span<const candidate> candidates,
                                time_point now);

    std::size_t size() const { return upstreams_.size(); }

private:
    struct tracked_upstream {
        load_view load;
        prefix_cache_view cache;
        explicit tracked_upstream(std::size_t blocks) : cache(blocks) {}
    };

    tracked_upstream& state_of(const std::string& upstream);
    const tracked_upstream* find(const std::string& upstream) const;
    /** Sets `sampled_` to the candidates to compare. */
    void sample(const route_request& request,
                std::span<const candidate> candidates);
    /**
     * Adds the upstreams that the prompt's prefix, or a suspect request's
     * fingerprint, selects by rendezvous hashing. All entries select the same
     * ones without coordination.
     */
    void add_affinity_candidates(const route_request& request,
                                 std::span<const candidate> candidates);
    bool usable(const route_request& request, const candidate& target) const;
    double cost_ms(const route_request& request, const candidate& target) const;
    double load_cost_ms(const load_view& load) const;

    router_settings settings_;
    std::mt19937_64 random_;
    std::unordered_map<std::string, tracked_upstream> upstreams_;
    std::vector<std::size_t> sampled_; ///< indexes; kept to reuse its memory
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ROUTER_HPP

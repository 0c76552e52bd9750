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

/** What is to be sent somewhere. */
struct route_request {
    std::string service;
    std::string team;
    std::uint32_t prompt_tokens = 0;
    std::vector<std::uint64_t> prefix_blocks; ///< chained hashes
    bool suspect = false;                     ///< may crash what runs it
    std::uint64_t fingerprint = 0;
    std::vector<std::string> excluded; ///< tried already
    std::string own_failure_domain;
    std::string own_region;
    objective goal = objective::stall_time;
};

/**
 * Chooses the upstream for a request: the least cost in time, of expected
 * wait, of reading the part of the prompt that is not cached there, and of
 * the way there. An upstream's load is the last report and own dispatches
 * since. With many candidates only the homes of the prompt's prefix and a
 * random sample are looked at, so that the cost of a choice stays bounded and
 * entries don't all pick the same one.
 *
 * One per entry and shard. Not thread-safe. No I/O. Deterministic by seed.
 */
class router
{
public:
    router(router_settings settings, std::uint64_t seed);

    void report(const load_report& latest, time_point now);
    /** Cache event of an upstream: late and gappy, a hint. */
    void cached(const std::string& upstream,
                std::span<const std::uint64_t> blocks);
    void evicted(const std::string& upstream, std::uint64_t block);

    void dispatched(const std::string& upstream, const route_request& request,
                    time_point now);
    void settled(const std::string& upstream, time_point now);
    /** The upstream has gone. */
    void forget(const std::string& upstream);

    /**
     * Index into `candidates`; no_upstream if none may be used, queue_full
     * with a retry_after if all are too busy.
     */
    outcome<std::size_t> choose(const route_request& request,
                                std::span<const candidate> candidates,
                                time_point now);

    std::size_t size() const { return upstreams_.size(); }

private:
    struct upstream_state {
        load_view load;
        prefix_cache_view cache;
        explicit upstream_state(std::size_t blocks) : cache(blocks) {}
    };

    upstream_state& state_of(const std::string& upstream);
    const upstream_state* find(const std::string& upstream) const;
    void sample(const route_request& request,
                std::span<const candidate> candidates);
    /** By rendezvous hashing, so that entries agree without talking. */
    void add_homes(const route_request& request,
                   std::span<const candidate> candidates);
    bool usable(const route_request& request, const candidate& of) const;
    double cost_ms(const route_request& request, const candidate& of) const;
    double load_cost_ms(const load_view& load) const;

    router_settings settings_;
    std::mt19937_64 random_;
    std::unordered_map<std::string, upstream_state> upstreams_;
    std::vector<std::size_t> sampled_; ///< reused from choice to choice
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ROUTER_HPP

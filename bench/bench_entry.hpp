#ifndef CYCLAMENRUN_BENCH_BENCH_ENTRY_HPP
#define CYCLAMENRUN_BENCH_BENCH_ENTRY_HPP

#include "deployment.hpp"
#include "policy.hpp"
#include "retry_budget.hpp"
#include "router.hpp"

#include <span>
#include <string>

namespace cyclamenrun::bench
{

/** One entry, which chooses upstreams by the policy under trial. */
class bench_entry
{
public:
    bench_entry(const deployment& deployment, const policy& tested_policy,
                std::size_t index, std::uint64_t seed, bool no_deadlines);

    /** Returns the index of the chosen candidate, or a refusal. */
    outcome<std::size_t> choose(const route_request& request,
                                std::span<const candidate> candidates,
                                time_point now);
    /** Handles an upstream's load report. */
    void update_report(const load_report& latest, time_point now);
    cyclamenrun::router& router() { return router_; }
    retry_budget& retries() { return retries_; }

    const std::string failure_domain;
    bool alive = true;

private:
    outcome<std::size_t>
    choose_round_robin(const route_request& request,
                       std::span<const candidate> candidates);
    outcome<std::size_t>
    choose_least_load(const route_request& request,
                      std::span<const candidate> candidates);

    policy_kind kind_;
    cyclamenrun::router router_;
    retry_budget retries_;
    std::size_t next_index_; ///< of the candidate to examine first
    std::unordered_map<std::string, load_report> reports_; ///< for least_load
};

} // namespace cyclamenrun::bench

#endif // CYCLAMENRUN_BENCH_BENCH_ENTRY_HPP

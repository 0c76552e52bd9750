#include "bench_entry.hpp"

#include "workload.hpp"

#include <algorithm>

namespace cyclamenrun::bench
{

namespace
{

constexpr double retry_share = 0.2;
constexpr double retry_burst = 10;
constexpr std::size_t retry_teams = 512;

router_settings settings_of(const policy& tested_policy, bool no_deadlines)
{
    router_settings settings;
    settings.block_tokens = prefix_block_tokens;
    settings.prefix = tested_policy.prefix;
    settings.own_counts = tested_policy.own_counts;
    if (no_deadlines)
        settings.max_wait = std::chrono::hours(24);
    return settings;
}

bool excluded(const route_request& request, const candidate& option)
{
    return std::find(request.excluded.begin(), request.excluded.end(),
                     option.upstream) != request.excluded.end();
}

} // namespace

bench_entry::bench_entry(const deployment& deployment,
                         const policy& tested_policy, std::size_t index,
                         std::uint64_t seed, bool no_deadlines)
    : failure_domain(deployment.failure_domains[index]),
      kind_(tested_policy.kind),
      router_(settings_of(tested_policy, no_deadlines), seed),
      retries_(retry_share, retry_burst, retry_teams), next_index_(index)
{
}

outcome<std::size_t> bench_entry::choose(const route_request& request,
                                         std::span<const candidate> candidates,
                                         time_point now)
{
    if (kind_ == policy_kind::round_robin)
        return choose_round_robin(request, candidates);
    if (kind_ == policy_kind::least_load)
        return choose_least_load(request, candidates);
    return router_.choose(request, candidates, now);
}

outcome<std::size_t>
bench_entry::choose_round_robin(const route_request& request,
                                std::span<const candidate> candidates)
{
    for (std::size_t tries = 0; tries < candidates.size(); ++tries) {
        const std::size_t index = next_index_++ % candidates.size();
        if (!excluded(request, candidates[index]))
            return index;
    }
    return tl::unexpected(not_run(refusal_reason::no_upstream));
}

outcome<std::size_t>
bench_entry::choose_least_load(const route_request& request,
                               std::span<const candidate> candidates)
{
    std::optional<std::size_t> best;
    std::uint64_t least = UINT64_MAX;
    // Starts at a different candidate each time to spread ties evenly.
    ++next_index_;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const std::size_t index = (next_index_ + i) % candidates.size();
        if (excluded(request, candidates[index]))
            continue;
        const load_report& load = reports_[candidates[index].upstream];
        const std::uint64_t work_items =
            std::uint64_t{load.running} + load.queued;
        if (work_items < least) {
            least = work_items;
            best = index;
        }
    }
    if (!best)
        return tl::unexpected(not_run(refusal_reason::no_upstream));
    return *best;
}

void bench_entry::update_report(const load_report& latest, time_point now)
{
    if (kind_ == policy_kind::least_load)
        reports_[latest.upstream] = latest;
    else
        router_.update_report(latest, now);
}

} // namespace cyclamenrun::bench

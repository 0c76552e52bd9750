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

router_settings settings_of(const policy& chosen, bool patient)
{
    router_settings made;
    made.block_tokens = prefix_block_tokens;
    made.prefix = chosen.prefix;
    made.own_counts = chosen.own_counts;
    if (patient)
        made.max_wait = std::chrono::hours(24);
    return made;
}

bool excluded(const route_request& request, const candidate& of)
{
    return std::find(request.excluded.begin(), request.excluded.end(),
                     of.upstream) != request.excluded.end();
}

} // namespace

bench_entry::bench_entry(const deployment& site, const policy& chosen,
                         std::size_t index, std::uint64_t seed, bool patient)
    : failure_domain(site.failure_domains[index]), kind_(chosen.kind),
      router_(settings_of(chosen, patient), seed),
      retries_(retry_share, retry_burst, retry_teams), turn_(index)
{
}

outcome<std::size_t> bench_entry::choose(const route_request& request,
                                         std::span<const candidate> candidates,
                                         time_point now)
{
    if (kind_ == policy_kind::round_robin)
        return next_in_turn(request, candidates);
    if (kind_ == policy_kind::least_load)
        return least_reported(request, candidates);
    return router_.choose(request, candidates, now);
}

outcome<std::size_t>
bench_entry::next_in_turn(const route_request& request,
                          std::span<const candidate> candidates)
{
    for (std::size_t tries = 0; tries < candidates.size(); ++tries) {
        const std::size_t index = turn_++ % candidates.size();
        if (!excluded(request, candidates[index]))
            return index;
    }
    return tl::unexpected(not_run(refusal_reason::no_upstream));
}

outcome<std::size_t>
bench_entry::least_reported(const route_request& request,
                            std::span<const candidate> candidates)
{
    std::optional<std::size_t> best;
    std::uint64_t least = UINT64_MAX;
    // Starts at a different candidate each time to spread ties evenly.
    ++turn_;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const std::size_t index = (turn_ + i) % candidates.size();
        if (excluded(request, candidates[index]))
            continue;
        const load_report& load = reports_[candidates[index].upstream];
        const std::uint64_t works = std::uint64_t{load.running} + load.queued;
        if (works < least) {
            least = works;
            best = index;
        }
    }
    if (!best)
        return tl::unexpected(not_run(refusal_reason::no_upstream));
    return *best;
}

void bench_entry::report(const load_report& latest, time_point now)
{
    if (kind_ == policy_kind::least_load)
        reports_[latest.upstream] = latest;
    else
        router_.report(latest, now);
}

} // namespace cyclamenrun::bench

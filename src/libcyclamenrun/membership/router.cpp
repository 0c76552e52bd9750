#include "router.hpp"

#include "digest.hpp"

#include <algorithm>
#include <array>
#include <limits>

namespace cyclamenrun
{

namespace
{

// Cached prompt blocks tracked for each upstream.
constexpr std::size_t cache_blocks = 4'096;

// An upstream without a report costs more than one known to be idle.
constexpr double no_report_cost_ms = 20.0;

// Prefix lengths in blocks. For each of them, the hash of the prompt's prefix
// selects a preferred upstream. How much of a prompt is shared is unknown: the
// first blocks may be common to the whole service, and later blocks may be
// unique to the request. A suspect request has as many preferred upstreams,
// selected by its fingerprint, which bounds the number of upstreams that it may
// crash.
constexpr std::array<std::size_t, 3> affinity_prefix_lengths = {4, 8, 16};

std::uint64_t mix(std::uint64_t left, std::uint64_t right)
{
    std::uint64_t value = left ^ (right * 0x9E3779B97F4A7C15U);
    value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9U;
    value = (value ^ (value >> 27)) * 0x94D049BB133111EBU;
    return value ^ (value >> 31);
}

using affinity_keys = std::array<std::uint64_t, affinity_prefix_lengths.size()>;

affinity_keys keys_of(const route_request& request)
{
    affinity_keys keys{};
    for (std::size_t i = 0; i < keys.size(); ++i) {
        if (request.suspect) {
            keys[i] = mix(request.fingerprint, i);
            continue;
        }
        const std::size_t last =
            std::min(affinity_prefix_lengths[i], request.prefix_blocks.size());
        keys[i] = request.prefix_blocks[last - 1];
    }
    return keys;
}

std::uint64_t hash_of(const candidate& target)
{
    return target.hash != 0 ? target.hash : hash64(target.upstream);
}

bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

router::router(router_settings settings, std::uint64_t seed)
    : settings_(settings), random_(seed)
{
}

void router::update_report(const load_report& latest, time_point now)
{
    state_of(latest.upstream).load.update_report(latest, now);
}

void router::record_cached(const std::string& upstream,
                           std::span<const std::uint64_t> blocks)
{
    state_of(upstream).cache.record_use(blocks);
}

void router::record_eviction(const std::string& upstream, std::uint64_t block)
{
    state_of(upstream).cache.record_eviction(block);
}

void router::record_dispatch(const std::string& upstream,
                             const route_request& request, time_point now)
{
    tracked_upstream& state = state_of(upstream);
    if (settings_.own_counts)
        state.load.record_dispatch(request.prompt_tokens, now);
    state.cache.record_use(request.prefix_blocks);
}

void router::record_completion(const std::string& upstream, time_point)
{
    const auto found = upstreams_.find(upstream);
    if (found != upstreams_.end())
        found->second.load.record_completion();
}

void router::remove(const std::string& upstream)
{
    upstreams_.erase(upstream);
}

router::tracked_upstream& router::state_of(const std::string& upstream)
{
    const auto found = upstreams_.find(upstream);
    if (found != upstreams_.end())
        return found->second;
    // At the bound an arbitrary upstream is dropped; its next report restores
    // its load. An entry's subsets hold fewer upstreams than the bound.
    if (upstreams_.size() >= settings_.max_upstreams)
        upstreams_.erase(upstreams_.begin());
    return upstreams_.try_emplace(upstream, cache_blocks).first->second;
}

const router::tracked_upstream* router::find(const std::string& upstream) const
{
    const auto found = upstreams_.find(upstream);
    return found == upstreams_.end() ? nullptr : &found->second;
}

outcome<std::size_t> router::choose(const route_request& request,
                                    std::span<const candidate> candidates,
                                    time_point)
{
    sample(request, candidates);
    std::optional<std::size_t> best;
    double best_cost = std::numeric_limits<double>::max();
    milliseconds least_wait = milliseconds::max();
    for (const std::size_t index : sampled_) {
        const candidate& target = candidates[index];
        if (!usable(request, target))
            continue;
        const double cost = cost_ms(request, target);
        if (const tracked_upstream* state = find(target.upstream))
            least_wait = std::min(least_wait, state->load.expected_wait());
        else
            least_wait = milliseconds(0);
        if (cost < best_cost) {
            best_cost = cost;
            best = index;
        }
    }
    if (!best)
        return tl::unexpected(not_run(refusal_reason::no_upstream));
    if (least_wait > settings_.max_wait)
        return tl::unexpected(not_run(refusal_reason::queue_full,
                                      "every upstream",
                                      least_wait - settings_.max_wait));
    return *best;
}

void router::sample(const route_request& request,
                    std::span<const candidate> candidates)
{
    sampled_.clear();
    if (request.suspect) {
        add_affinity_candidates(request, candidates);
        return;
    }
    if (candidates.size() <= settings_.sample_size) {
        for (std::size_t i = 0; i < candidates.size(); ++i)
            sampled_.push_back(i);
        return;
    }
    if (settings_.prefix && !request.prefix_blocks.empty())
        add_affinity_candidates(request, candidates);
    std::uniform_int_distribution<std::size_t> any(0, candidates.size() - 1);
    // Draws again, up to a bound, to replace unusable candidates.
    for (std::size_t i = 0; i < 4 * settings_.sample_size &&
                            sampled_.size() < settings_.sample_size;
         ++i) {
        const std::size_t drawn = any(random_);
        if (usable(request, candidates[drawn]))
            sampled_.push_back(drawn);
    }
    if (!sampled_.empty())
        return;
    for (std::size_t i = 0; i < candidates.size(); ++i)
        sampled_.push_back(i);
}

void router::add_affinity_candidates(const route_request& request,
                                     std::span<const candidate> candidates)
{
    const affinity_keys keys = keys_of(request);
    std::array<std::uint64_t, keys.size()> ranks{};
    std::array<std::size_t, keys.size()> best;
    best.fill(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const std::uint64_t hash = hash_of(candidates[i]);
        for (std::size_t key = 0; key < keys.size(); ++key) {
            const std::uint64_t rank = mix(keys[key], hash);
            if (rank <= ranks[key] || !usable(request, candidates[i]))
                continue;
            ranks[key] = rank;
            best[key] = i;
        }
    }
    for (const std::size_t index : best)
        if (index < candidates.size())
            sampled_.push_back(index);
}

bool router::usable(const route_request& request, const candidate& target) const
{
    if (contains(request.excluded, target.upstream))
        return false;
    const tracked_upstream* state = find(target.upstream);
    return !state || !state->load.leaving();
}

double router::cost_ms(const route_request& request,
                       const candidate& target) const
{
    double cost = 0.0;
    double uncached = request.prompt_tokens;
    if (const tracked_upstream* state = find(target.upstream)) {
        cost += load_cost_ms(state->load);
        if (settings_.prefix)
            uncached -= static_cast<double>(
                settings_.block_tokens *
                state->cache.count_cached(request.prefix_blocks));
    } else {
        cost += no_report_cost_ms;
    }
    cost += std::max(uncached, 0.0) * settings_.prefix_miss_ms_per_token;
    if (target.region != request.own_region)
        cost += static_cast<double>(settings_.region_cost.count());
    else if (target.failure_domain != request.own_failure_domain)
        cost += static_cast<double>(settings_.failure_domain_cost.count());
    return cost;
}

double router::load_cost_ms(const load_view& load) const
{
    return static_cast<double>(load.expected_wait().count()) +
           settings_.full_memory_cost_ms * load.memory_share();
}

} // namespace cyclamenrun

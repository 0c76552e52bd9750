#include "upstream_choice.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

namespace
{

/** Backups reduce the memory of running work, so half must be free. */
constexpr double backup_below_memory = 0.5;
/**
 * Penalty as a fraction of the memory: copies between failure domains occupy
 * both links twice as long.
 */
constexpr double backup_other_domain = 0.1;

/**
 * Width of the random spread over engines for start requests, in units of cost.
 * Monitors grant each start, so the load estimates only need to exclude
 * overloaded engines. With a small width all gateways select the same engines
 * by load reports that are 150 ms old, and fewer requests are served in time.
 * Requesting further engines during the wait gains more than a larger width.
 */
constexpr double start_request_width = 1.0;

/** The same for copies; low, to favour engines of the same failure domain. */
constexpr double copy_request_width = 0.2;

/** The same for a request that runs alone: where it has few neighbours. */
constexpr double solo_request_width = 0.01;

placement_weights weights_for(const placement_request& request)
{
    return request.solo ? solo_weights : placement_weights();
}

bool contains(const std::vector<std::string>& ids, const std::string& id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

/** Lowest cost among all placements except the one at index `exclude`. */
std::optional<double>
lowest_cost_except(const std::vector<placement_candidate>& placements,
                   std::size_t exclude, const placement_weights& weights)
{
    std::optional<double> best;
    for (std::size_t i = 0; i < placements.size(); ++i) {
        const double cost = placement_cost(placements[i], weights);
        if (i != exclude && (!best || cost < *best))
            best = cost;
    }
    return best;
}

} // namespace

std::vector<const upstream_state*> upstream_choice::candidates(
    const std::string& service, const std::vector<std::string>& excluded,
    const std::optional<std::string>& version, time_point now) const
{
    auto all = upstreams_.available(service);
    std::erase_if(all, [&](const upstream_state* upstream) {
        return contains(excluded, upstream->record.id) ||
               !is_usable(upstream->record.id, now) ||
               !fits(upstream->record, version, now);
    });
    return all;
}

bool upstream_choice::fits(const upstream_record& upstream,
                           const std::optional<std::string>& version,
                           time_point now) const
{
    if (!version)
        return true;
    // Another process may have another version than the record.
    if (!version->empty() &&
        upstreams_.standing(upstream, now) == process_standing::ended)
        return false;
    // Two upstreams that name no version may have different ones, unless the
    // service has no versions at all.
    return upstream.version == *version &&
           (!version->empty() || versions_.names_none(upstream.service, now));
}

std::optional<upstream_record> upstream_choice::any_fitting(
    const std::string& service, const std::vector<std::string>& excluded,
    const std::optional<std::string>& version, time_point now) const
{
    for (const auto* upstream : upstreams_.available(service))
        if (!contains(excluded, upstream->record.id) &&
            !is_evacuated(upstream->record) &&
            fits(upstream->record, version, now))
            return upstream->record;
    return std::nullopt;
}

bool upstream_choice::is_usable(const std::string& id, time_point now) const
{
    const auto* state = upstreams_.find(id);
    return state != nullptr && !state->leaving && !state->superseded &&
           !is_evacuated(state->record) && limits_.has_room(id, now) &&
           !notices_.is_resting(id, now);
}

bool upstream_choice::all_evacuated(const std::string& service) const
{
    if (evacuated_.size() == 0)
        return false;
    const auto all = upstreams_.available(service);
    if (!all.empty())
        return std::all_of(all.begin(), all.end(), [&](const auto* upstream) {
            return is_evacuated(upstream->record);
        });
    // The upstreams of an evacuated domain may all leave or crash.
    bool known = false;
    upstreams_.for_each([&](const upstream_record& upstream) {
        known =
            known || (upstream.service == service && is_evacuated(upstream));
    });
    return known;
}

std::optional<next_room> upstream_choice::first_with_room(
    const std::string& service, const std::vector<std::string>& excluded,
    const std::optional<std::string>& version, time_point now) const
{
    std::optional<next_room> first;
    for (const auto* upstream : upstreams_.available(service)) {
        const auto& id = upstream->record.id;
        if (contains(excluded, id) || is_evacuated(upstream->record) ||
            !fits(upstream->record, version, now))
            continue;
        const auto to_room = limits_.time_to_room(id, now);
        const auto to_rest_end = notices_.rest_left(id, now);
        const auto wait = std::max(to_room, to_rest_end);
        if (wait == milliseconds::zero())
            return std::nullopt;
        if (!first || wait < first->wait)
            first = next_room{id, wait, to_rest_end > to_room};
    }
    return first;
}

std::optional<placed_upstream>
upstream_choice::choose(const std::vector<const upstream_state*>& from,
                        const placement_request& request,
                        const placement_weights& weights, time_point now)
{
    std::vector<placement_candidate> placements;
    placements.reserve(from.size());
    for (const auto* upstream : from)
        placements.push_back(placement_of(*upstream, request, now));
    const auto chosen = choose_placement(placements, random_, weights);
    if (!chosen || placements[*chosen].unreachable)
        return std::nullopt;
    const auto& upstream = *from[*chosen];
    placed_upstream placed;
    placed.record = upstream.record;
    placed.candidate = placements[*chosen];
    placed.cost = placement_cost(placements[*chosen], weights);
    placed.second_cost = lowest_cost_except(placements, *chosen, weights);
    placed.weighed = placements.size();
    if (upstream.load)
        placed.load_age =
            std::chrono::duration_cast<milliseconds>(now - upstream.load_at);
    placed.estimated_time_to_first_part =
        estimated_time_to_first_part(upstream, request, now);
    return placed;
}

std::optional<placed_upstream> upstream_choice::for_request(
    const std::string& service, const placement_request& request,
    const std::vector<std::string>& excluded, time_point now)
{
    return choose(candidates(service, excluded, request.version, now), request,
                  weights_for(request), now);
}

std::optional<placed_upstream>
upstream_choice::for_request_among(const std::vector<upstream_record>& engines,
                                   const placement_request& request,
                                   time_point now)
{
    std::vector<const upstream_state*> known;
    for (const auto& engine : engines) {
        const auto* state = upstreams_.find(engine.id);
        if (is_usable(engine.id, now) && has_fresh_load(*state, now) &&
            fits(state->record, request.version, now))
            known.push_back(state);
    }
    return choose(known, request, weights_for(request), now);
}

std::vector<upstream_record> upstream_choice::start_candidates(
    const std::string& service, const placement_request& request,
    const std::vector<std::string>& excluded, std::size_t count, time_point now)
{
    const double width =
        request.solo ? solo_request_width : start_request_width;
    return draw(candidates(service, excluded, request.version, now), request,
                weights_for(request), width, count, now);
}

std::vector<upstream_record> upstream_choice::copy_candidates(
    const std::string& service, const placement_request& request,
    const std::vector<std::string>& excluded, std::size_t count, time_point now)
{
    return draw(candidates(service, excluded, request.version, now), request,
                copy_weights, copy_request_width, count, now);
}

std::vector<upstream_record>
upstream_choice::draw(const std::vector<const upstream_state*>& from,
                      const placement_request& request,
                      const placement_weights& weights, double width,
                      std::size_t count, time_point now)
{
    // Gumbel noise on the costs draws without replacement, with a weight of
    // exp(-cost / width) for each engine.
    std::extreme_value_distribution<double> noise(0, width);
    std::vector<std::pair<double, const upstream_state*>> drawn;
    for (const auto* upstream : from) {
        const auto place = placement_of(*upstream, request, now);
        if (!place.unreachable)
            drawn.emplace_back(placement_cost(place, weights) - noise(random_),
                               upstream);
    }
    std::sort(drawn.begin(), drawn.end());
    std::vector<upstream_record> records;
    for (const auto& [cost, upstream] : drawn) {
        if (records.size() == count)
            break;
        records.push_back(upstream->record);
    }
    return records;
}

double upstream_choice::start_cost(const upstream_record& engine,
                                   const engine_occupancy& occupancy,
                                   const placement_request& request,
                                   time_point now) const
{
    const auto* state = upstreams_.find(engine.id);
    placement_candidate reported = state == nullptr
                                       ? placement_candidate()
                                       : placement_of(*state, request, now);
    // A granted start does not wait for earlier prompts.
    reported.wait = 0;
    reported.slots_taken =
        static_cast<double>(occupancy.slots_taken) / std::max(1U, engine.slots);
    reported.memory_taken =
        static_cast<double>(occupancy.memory_taken + request.output_tokens) /
        static_cast<double>(
            std::max<std::uint64_t>(1, request.engine_memory_tokens));
    reported.late_streams = occupancy.late_streams;
    return placement_cost(reported, weights_for(request));
}

double upstream_choice::copy_cost(const upstream_record& engine,
                                  const placement_request& request,
                                  time_point now) const
{
    const auto* state = upstreams_.find(engine.id);
    return placement_cost(state == nullptr ? placement_candidate()
                                           : placement_of(*state, request, now),
                          copy_weights);
}

std::optional<placed_upstream> upstream_choice::for_move(
    const std::string& service, const placement_request& request,
    const std::vector<std::string>& excluded, time_point now)
{
    return choose(candidates(service, excluded, request.version, now), request,
                  copy_weights, now);
}

std::optional<upstream_record>
upstream_choice::for_backup(const std::string& service,
                            const placement_request& request,
                            const std::string& running_at, time_point now)
{
    double least = backup_below_memory;
    std::optional<upstream_record> backup;
    auto others = candidates(service, {running_at}, request.version, now);
    const auto known = std::stable_partition(
        others.begin(), others.end(), [&](const upstream_state* other) {
            return has_fresh_load(*other, now);
        });
    // Engines without a fresh load may be full, so they are used only if there
    // are no others.
    if (known != others.begin())
        others.erase(known, others.end());
    for (const auto* other : others) {
        const auto place = placement_of(*other, request, now);
        const double taken =
            place.memory_taken +
            (place.same_failure_domain ? 0.0 : backup_other_domain);
        if (taken >= least)
            continue;
        least = taken;
        backup = other->record;
    }
    return backup;
}

} // namespace cyclamenrun

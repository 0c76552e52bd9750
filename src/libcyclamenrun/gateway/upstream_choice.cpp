#include "upstream_choice.hpp"

#include <algorithm>

namespace cyclamenrun
{

namespace
{

/** A backup takes memory from running work; only where half is free. */
constexpr double backup_below_memory = 0.5;
/** Copies between failure domains take twice as long on both links. */
constexpr double backup_other_domain = 0.1;

/** Cost of the best place but one. */
std::optional<double> best_but(const std::vector<placement_candidate>& places,
                               std::size_t but,
                               const placement_weights& weights)
{
    std::optional<double> best;
    for (std::size_t i = 0; i < places.size(); ++i) {
        const double cost = placement_cost(places[i], weights);
        if (i != but && (!best || cost < *best))
            best = cost;
    }
    return best;
}

} // namespace

std::vector<const upstream_state*>
upstream_choice::candidates(const std::string& service,
                            const std::vector<std::string>& excluded) const
{
    auto all = board_.available(service);
    std::erase_if(all, [&](const upstream_state* upstream) {
        return std::find(excluded.begin(), excluded.end(),
                         upstream->record.id) != excluded.end();
    });
    return all;
}

std::optional<placed_upstream>
upstream_choice::choose(const std::vector<const upstream_state*>& from,
                        const placement_request& request,
                        const placement_weights& weights, time_point now)
{
    std::vector<placement_candidate> places;
    places.reserve(from.size());
    for (const auto* upstream : from)
        places.push_back(placement_of(*upstream, request, now));
    const auto chosen = choose_placement(places, random_, weights);
    if (!chosen || places[*chosen].unreachable)
        return std::nullopt;
    const auto& upstream = *from[*chosen];
    placed_upstream placed;
    placed.record = upstream.record;
    placed.place = places[*chosen];
    placed.cost = placement_cost(places[*chosen], weights);
    placed.second_cost = best_but(places, *chosen, weights);
    placed.weighed = places.size();
    if (upstream.load)
        placed.load_age =
            std::chrono::duration_cast<milliseconds>(now - upstream.load_at);
    placed.first_part_after = first_part_after(upstream, request, now);
    return placed;
}

std::optional<placed_upstream> upstream_choice::for_request(
    const std::string& service, const placement_request& request,
    const std::vector<std::string>& excluded, time_point now)
{
    return choose(candidates(service, excluded), request, {}, now);
}

std::optional<placed_upstream> upstream_choice::for_move(
    const std::string& service, const placement_request& request,
    const std::vector<std::string>& excluded, time_point now)
{
    return choose(candidates(service, excluded), request, copy_weights, now);
}

std::optional<upstream_record>
upstream_choice::for_backup(const std::string& service,
                            const placement_request& request,
                            const std::string& running_at, time_point now)
{
    double least = backup_below_memory;
    std::optional<upstream_record> backup;
    for (const auto* other : candidates(service, {running_at})) {
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

#ifndef CYCLAMENRUN_UPSTREAM_CHOICE_HPP
#define CYCLAMENRUN_UPSTREAM_CHOICE_HPP

#include "evacuated_domains.hpp"
#include "gateway_configuration.hpp"
#include "service_versions.hpp"
#include "upstream_limits.hpp"
#include "upstream_notices.hpp"
#include "upstream_registry.hpp"

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace cyclamenrun
{

/** A chosen upstream and the data that decided the choice. */
struct placed_upstream {
    upstream_record record;
    placement_candidate candidate; ///< the upstream with the request added
    double cost = 0;               ///< relative to the objective
    /** Lowest cost among the other candidates. */
    std::optional<double> second_cost;
    std::size_t weighed = 0; ///< number of candidates
    /** Age of the load report that was used; empty: no report. */
    std::optional<milliseconds> load_age;
    /** Estimated time to the first part: queued prompts and its own. */
    milliseconds estimated_time_to_first_part{0};
};

/** When an upstream that takes no request now takes one again. */
struct next_room {
    std::string upstream;
    milliseconds wait{0};
    bool rests = false; ///< it has asked for rest; else it is at its limit
};

/** Chooses upstreams for requests from the registry of upstreams. */
class upstream_choice
{
public:
    /**
     * Upstreams that rest, whose failure domain is evacuated, or at whose limit
     * this gateway is, are not chosen.
     */
    upstream_choice(const upstream_registry& upstreams,
                    const upstream_limits& limits,
                    const upstream_notices& notices,
                    const evacuated_domains& evacuated,
                    const service_versions& versions, std::mt19937_64& random)
        : upstreams_(upstreams), limits_(limits), notices_(notices),
          evacuated_(evacuated), versions_(versions), random_(random)
    {
    }

    /** Whether the upstream may get work now. */
    bool is_usable(const std::string& id, time_point now) const;

    /**
     * Whether the upstream's failure domain is evacuated, so that no request is
     * sent there, not even one that continues a generation.
     */
    bool is_evacuated(const upstream_record& upstream) const
    {
        return evacuated_.contains(upstream.failure_domain);
    }
    /** Whether evacuations leave the service without any upstream. */
    bool all_evacuated(const std::string& service) const;

    /**
     * Whether the upstream may run what needs this software version; see
     * placement_request.
     */
    bool fits(const upstream_record& upstream,
              const std::optional<std::string>& version, time_point now) const;
    /**
     * Whether any other upstream may, now or when it has room. One in an
     * evacuated domain may not.
     */
    bool any_fits(const std::string& service,
                  const std::vector<std::string>& excluded,
                  const std::optional<std::string>& version,
                  time_point now) const
    {
        return any_fitting(service, excluded, version, now).has_value();
    }
    /** One of these upstreams, whether it has room or not. */
    std::optional<upstream_record> any_fitting(
        const std::string& service, const std::vector<std::string>& excluded,
        const std::optional<std::string>& version, time_point now) const;

    /**
     * Returns the upstream that takes a request first if all that fit rest or
     * are at their limit; empty if one takes it now, or there is none.
     */
    std::optional<next_room> first_with_room(
        const std::string& service, const std::vector<std::string>& excluded,
        const std::optional<std::string>& version, time_point now) const;

    /** Upstream for a new request; empty if none is usable and reachable. */
    std::optional<placed_upstream>
    for_request(const std::string& service, const placement_request& request,
                const std::vector<std::string>& excluded, time_point now);

    /** The same, chosen among engines whose load was just queried. */
    std::optional<placed_upstream>
    for_request_among(const std::vector<upstream_record>& engines,
                      const placement_request& request, time_point now);

    /** Random engines for start requests, favouring a low cost. */
    std::vector<upstream_record>
    start_candidates(const std::string& service,
                     const placement_request& request,
                     const std::vector<std::string>& excluded,
                     std::size_t count, time_point now);

    /**
     * Random engines for copy turn requests of a running generation whose
     * engine leaves, favouring those to which the copy ends soonest.
     */
    std::vector<upstream_record>
    copy_candidates(const std::string& service,
                    const placement_request& request,
                    const std::vector<std::string>& excluded, std::size_t count,
                    time_point now);

    /** Cost of a start granted by the engine's monitor. */
    double start_cost(const upstream_record& engine,
                      const engine_occupancy& occupancy,
                      const placement_request& request, time_point now) const;
    /** Cost of copying a running generation to the engine. */
    double copy_cost(const upstream_record& engine,
                     const placement_request& request, time_point now) const;

    /**
     * Destination for a running generation whose engine leaves: the engine
     * of least copy cost, which favours free memory and the same failure
     * domain.
     */
    std::optional<placed_upstream>
    for_move(const std::string& service, const placement_request& request,
             const std::vector<std::string>& excluded, time_point now);

    /**
     * Engine for a backup of a running generation. Empty unless an engine has
     * much free memory, since a backup reduces the memory of running
     * generations.
     */
    std::optional<upstream_record> for_backup(const std::string& service,
                                              const placement_request& request,
                                              const std::string& running_at,
                                              time_point now);

private:
    std::vector<const upstream_state*>
    candidates(const std::string& service,
               const std::vector<std::string>& excluded,
               const std::optional<std::string>& version, time_point now) const;
    /**
     * Draws up to `count` engines at random, favouring a low cost. `width`: of
     * the random spread, in units of cost.
     */
    std::vector<upstream_record>
    draw(const std::vector<const upstream_state*>& from,
         const placement_request& request, const placement_weights& weights,
         double width, std::size_t count, time_point now);
    std::optional<placed_upstream>
    choose(const std::vector<const upstream_state*>& from,
           const placement_request& request, const placement_weights& weights,
           time_point now);

    const upstream_registry& upstreams_;
    const upstream_limits& limits_;
    const upstream_notices& notices_;
    const evacuated_domains& evacuated_;
    const service_versions& versions_;
    std::mt19937_64& random_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_UPSTREAM_CHOICE_HPP

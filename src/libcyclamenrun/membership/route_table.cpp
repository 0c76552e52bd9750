#include "route_table.hpp"

#include "link.pb.h"

#include <algorithm>

namespace cyclamenrun
{

namespace
{

constexpr std::size_t router_shards = 16;

load_report read_report(const link::LoadReport& message)
{
    load_report load;
    load.upstream = message.upstream();
    load.incarnation = message.incarnation();
    load.uptime = milliseconds(message.uptime_ms());
    load.leaving = message.leaving();
    load.running = message.running();
    load.queued = message.queued();
    load.memory_tokens_used = message.memory_tokens_used();
    load.memory_tokens_total = message.memory_tokens_total();
    load.expected_wait = milliseconds(message.expected_wait_ms());
    load.queued_tokens = message.queued_tokens();
    return load;
}

} // namespace

route_table::route_table(const route_table_settings& settings)
    : settings_(settings), members_(settings.members),
      routers_(router_shards, [&settings](std::size_t shard) {
          return std::make_unique<router>(settings.router,
                                          settings.seed + shard);
      })
{
}

outcome<route_target>
route_table::choose(const relay_request& request, objective goal,
                    const std::vector<std::string>& excluded, bool suspect,
                    time_point now)
{
    const auto candidates = usable_candidates(request.service);
    auto route = route_request_for(request);
    route.excluded = excluded;
    route.suspect = suspect;
    route.goal = goal;
    const auto chosen = routers_.with(request.service, [&](router& router) {
        return router.choose(route, candidates, now);
    });
    if (!chosen)
        return tl::unexpected(chosen.error());
    const auto& best = candidates[*chosen];
    return route_target{best.upstream, best.incarnation};
}

/**
 * Leaves out suspect upstreams unless all usable candidates are suspects. A
 * suspicion may be wrong, so a suspect is better than no upstream at all.
 */
std::vector<candidate>
route_table::usable_candidates(const std::string& service) const
{
    auto candidates = members_.candidates(service);
    // Without an incarnation, the entry could not determine later whether the
    // work was sent to the agent's current incarnation.
    std::erase_if(candidates, [](const candidate& each) {
        return each.incarnation == 0 || !accepts_work(each.state);
    });
    const bool any_unsuspected = std::any_of(
        candidates.begin(), candidates.end(), [](const candidate& each) {
            return each.state != upstream_condition::suspect;
        });
    if (any_unsuspected)
        std::erase_if(candidates, [](const candidate& each) {
            return each.state == upstream_condition::suspect;
        });
    return candidates;
}

route_request route_table::route_request_for(const relay_request& request) const
{
    route_request route;
    route.service = request.service;
    route.team = request.team;
    route.prompt_tokens = request.prompt_tokens;
    route.prefix_blocks = request.prefix_blocks;
    route.fingerprint = request.work.request;
    route.own_failure_domain = settings_.own_failure_domain;
    route.own_region = settings_.own_region;
    return route;
}

void route_table::record_dispatch(const relay_request& request,
                                  const std::string& upstream, time_point now)
{
    const auto route = route_request_for(request);
    routers_.with(request.service, [&](router& router) {
        router.record_dispatch(upstream, route, now);
    });
}

void route_table::record_completion(const std::string& service,
                                    const std::string& upstream, time_point now)
{
    routers_.with(service, [&](router& router) {
        router.record_completion(upstream, now);
    });
}

void route_table::update_report(const link::LoadReport& load, time_point now)
{
    if (load.upstream().empty())
        return;
    members_.on_reply(load.upstream(),
                      {load.incarnation(), load.leaving(), load.ready()}, now);
    uptimes_.record_report(load.upstream(), load.incarnation(),
                           load.uptime_ms(), now);
    const auto known = members_.find(load.upstream());
    if (!known)
        return;
    const auto latest = read_report(load);
    routers_.with(known->service,
                  [&](router& router) { router.update_report(latest, now); });
}

std::optional<agent_uptimes::estimate>
route_table::agent_uptime(const std::string& upstream, time_point now) const
{
    return uptimes_.estimate_of(upstream, now);
}

} // namespace cyclamenrun

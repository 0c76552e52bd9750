#ifndef CYCLAMENRUN_ROUTE_TABLE_HPP
#define CYCLAMENRUN_ROUTE_TABLE_HPP

#include "agent_uptimes.hpp"
#include "clock.hpp"
#include "membership.hpp"
#include "objective.hpp"
#include "refusal.hpp"
#include "relay_request.hpp"
#include "router.hpp"
#include "sharded.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenrun::link
{
class LoadReport;
}

namespace cyclamenrun
{

/** An entry's location and its routing settings. */
struct route_table_settings {
    std::string own_region;
    std::string own_failure_domain;
    membership_settings members;
    router_settings router;
    std::uint64_t seed = 0;
};

/**
 * Chooses upstreams for this entry's work. The membership provides the
 * candidates, and a router for each shard of services ranks them.
 */
class route_table
{
public:
    explicit route_table(const route_table_settings& settings);

    /** Chooses an upstream; `suspect`: the request may crash the engine. */
    outcome<route_target> choose(const relay_request& request, objective goal,
                                 const std::vector<std::string>& excluded,
                                 bool suspect, time_point now);
    void record_dispatch(const relay_request& request,
                         const std::string& upstream, time_point now);
    void record_completion(const std::string& service,
                           const std::string& upstream, time_point now);
    /** Applies a report that came with an answer or a heartbeat reply. */
    void update_report(const link::LoadReport& load, time_point now);
    /** The agent's incarnation and estimated uptime, for a ticket. */
    std::optional<agent_uptimes::estimate>
    agent_uptime(const std::string& upstream, time_point now) const;

    membership& members() { return members_; }
    const membership& members() const { return members_; }

private:
    std::vector<candidate> usable_candidates(const std::string& service) const;
    route_request route_request_for(const relay_request& request) const;

    route_table_settings settings_;
    membership members_;
    sharded<router> routers_;
    agent_uptimes uptimes_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ROUTE_TABLE_HPP

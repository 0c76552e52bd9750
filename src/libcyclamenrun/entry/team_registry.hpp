#ifndef CYCLAMENRUN_TEAM_REGISTRY_HPP
#define CYCLAMENRUN_TEAM_REGISTRY_HPP

#include "clock.hpp"
#include "config.pb.h"
#include "configuration_view.hpp"
#include "refusal.hpp"
#include "retry_budget.hpp"
#include "sharded.hpp"
#include "team_authenticator.hpp"
#include "team_limiter.hpp"

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/**
 * Authenticates teams and enforces each team's limits and retry budget at this
 * entry.
 */
class team_registry
{
public:
    explicit team_registry(double retry_share);

    /** Updates the teams' keys from the configuration. */
    void on_configuration(const configuration_view& view);
    /** Sets the number of entries that share the teams' limits. */
    void on_entries(std::size_t count);

    outcome<std::string> authenticate(std::string_view authorization) const;
    /** Admits a request. Call finish() when an admitted request ends. */
    outcome<void> admit(const v1::Team& team, std::uint32_t prompt_tokens,
                        time_point now);
    /** Counts output tokens towards the team's rate limit. */
    void record_output(const std::string& team, std::uint64_t tokens);
    void finish(const std::string& team);
    /** Takes one retry from the team's budget, or refuses. */
    outcome<void> spend_retry(const std::string& team);

private:
    struct limits_shard {
        limits_shard(double retry_share, std::size_t max_teams);
        team_limiter limiter;
        retry_budget retries;
    };

    std::shared_ptr<const team_authenticator> authenticator() const;

    mutable std::mutex mutex_; ///< guards authenticator_
    std::shared_ptr<const team_authenticator> authenticator_;
    sharded<limits_shard> shards_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_TEAM_REGISTRY_HPP

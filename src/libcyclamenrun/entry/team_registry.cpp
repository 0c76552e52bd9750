#include "team_registry.hpp"

namespace cyclamenrun
{

namespace
{

constexpr std::size_t shard_count = 8;
constexpr std::size_t max_teams_per_shard = 512;
/** Maximum number of unused retries that a team can accumulate. */
constexpr double retry_burst = 10.0;
constexpr milliseconds retry_delay{1000};

} // namespace

team_registry::limits_shard::limits_shard(double retry_share,
                                          std::size_t max_teams)
    : limiter(max_teams), retries(retry_share, retry_burst, max_teams)
{
}

team_registry::team_registry(double retry_share)
    : authenticator_(
          std::make_shared<const team_authenticator>(std::vector<team_key>{})),
      shards_(shard_count, [retry_share](std::size_t) {
          return std::make_unique<limits_shard>(retry_share,
                                                max_teams_per_shard);
      })
{
}

void team_registry::on_configuration(const configuration_view& view)
{
    std::vector<team_key> keys;
    for (const auto* team : view.resources.teams())
        keys.push_back({team->name(), {team->key_salt(), team->key_hash()}});
    auto made = std::make_shared<const team_authenticator>(keys);
    const std::scoped_lock lock(mutex_);
    authenticator_ = std::move(made);
}

void team_registry::on_entries(std::size_t count)
{
    shards_.with_each([count](limits_shard& shard) {
        shard.limiter.set_entries(
            static_cast<std::uint32_t>(std::max<std::size_t>(1, count)));
    });
}

std::shared_ptr<const team_authenticator> team_registry::authenticator() const
{
    const std::scoped_lock lock(mutex_);
    return authenticator_;
}

outcome<std::string>
team_registry::authenticate(std::string_view authorization) const
{
    return authenticator()->authenticate(authorization);
}

outcome<void> team_registry::admit(const v1::Team& team,
                                   std::uint32_t prompt_tokens, time_point now)
{
    const team_limits limits{team.max_concurrent(), team.tokens_per_second()};
    return shards_.with(team.name(), [&](limits_shard& shard) {
        auto started =
            shard.limiter.admit(team.name(), limits, prompt_tokens, now);
        if (started)
            shard.retries.record_request(team.name());
        return started;
    });
}

void team_registry::record_output(const std::string& team, std::uint64_t tokens)
{
    shards_.with(team, [&](limits_shard& shard) {
        shard.limiter.record_output(team, static_cast<std::uint32_t>(tokens));
    });
}

void team_registry::finish(const std::string& team)
{
    shards_.with(team,
                 [&](limits_shard& shard) { shard.limiter.record_end(team); });
}

outcome<void> team_registry::spend_retry(const std::string& team)
{
    const bool allowed = shards_.with(team, [&](limits_shard& shard) {
        return shard.retries.try_retry(team);
    });
    if (allowed)
        return {};
    return tl::unexpected(not_run(refusal_reason::retry_budget_spent,
                                  "the team's retry budget is used up",
                                  retry_delay));
}

} // namespace cyclamenrun

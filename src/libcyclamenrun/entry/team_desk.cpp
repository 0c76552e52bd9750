#include "team_desk.hpp"

namespace cyclamenrun
{

namespace
{

constexpr std::size_t shards = 8;
constexpr std::size_t max_teams_per_shard = 512;
/** Max retries that a team can accumulate while its requests succeed. */
constexpr double retry_burst = 10.0;
constexpr milliseconds retry_pause{1000};

} // namespace

team_desk::ledger::ledger(double retry_share, std::size_t max_teams)
    : limiter(max_teams), retries(retry_share, retry_burst, max_teams)
{
}

team_desk::team_desk(double retry_share)
    : authenticator_(
          std::make_shared<const team_authenticator>(std::vector<team_key>{})),
      ledgers_(shards, [retry_share](std::size_t) {
          return std::make_unique<ledger>(retry_share, max_teams_per_shard);
      })
{
}

void team_desk::on_configuration(const configuration_view& view)
{
    std::vector<team_key> keys;
    for (const auto* team : view.resources.teams())
        keys.push_back({team->name(), {team->key_salt(), team->key_hash()}});
    auto made = std::make_shared<const team_authenticator>(keys);
    const std::scoped_lock lock(mutex_);
    authenticator_ = std::move(made);
}

void team_desk::on_entries(std::size_t count)
{
    ledgers_.with_each([count](ledger& its) {
        its.limiter.entries(
            static_cast<std::uint32_t>(std::max<std::size_t>(1, count)));
    });
}

std::shared_ptr<const team_authenticator> team_desk::authenticator() const
{
    const std::scoped_lock lock(mutex_);
    return authenticator_;
}

outcome<std::string>
team_desk::authenticate(std::string_view authorization) const
{
    return authenticator()->authenticate(authorization);
}

outcome<void> team_desk::start(const v1::Team& team,
                               std::uint32_t prompt_tokens, time_point now)
{
    const team_limits limits{team.max_concurrent(), team.tokens_per_second()};
    return ledgers_.with(team.name(), [&](ledger& its) {
        auto started =
            its.limiter.start(team.name(), limits, prompt_tokens, now);
        if (started)
            its.retries.request(team.name());
        return started;
    });
}

void team_desk::output(const std::string& team, std::uint64_t tokens)
{
    ledgers_.with(team, [&](ledger& its) {
        its.limiter.output(team, static_cast<std::uint32_t>(tokens));
    });
}

void team_desk::finish(const std::string& team)
{
    ledgers_.with(team, [&](ledger& its) { its.limiter.finished(team); });
}

outcome<void> team_desk::spend_retry(const std::string& team)
{
    const bool allowed = ledgers_.with(
        team, [&](ledger& its) { return its.retries.try_retry(team); });
    if (allowed)
        return {};
    return tl::unexpected(not_run(refusal_reason::retry_budget_spent,
                                  "the team's retry budget is used up",
                                  retry_pause));
}

} // namespace cyclamenrun

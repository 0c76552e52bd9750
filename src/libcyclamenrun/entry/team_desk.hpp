#ifndef CYCLAMENRUN_TEAM_DESK_HPP
#define CYCLAMENRUN_TEAM_DESK_HPP

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
 * Knows teams by their keys, and holds each to its limits and its share of
 * retries at this entry.
 */
class team_desk
{
public:
    explicit team_desk(double retry_share);

    /** Takes the keys of the teams in force. */
    void on_configuration(const configuration_view& view);
    /** How many entries share the callers now. */
    void on_entries(std::size_t count);

    outcome<std::string> authenticate(std::string_view authorization) const;
    /** To be ended by finish() if it is not refused. */
    outcome<void> start(const v1::Team& team, std::uint32_t prompt_tokens,
                        time_point now);
    void output(const std::string& team, std::uint64_t tokens);
    void finish(const std::string& team);
    outcome<void> spend_retry(const std::string& team);

private:
    struct ledger {
        ledger(double retry_share, std::size_t max_teams);
        team_limiter limiter;
        retry_budget retries;
    };

    std::shared_ptr<const team_authenticator> authenticator() const;

    mutable std::mutex mutex_; // guards authenticator_
    std::shared_ptr<const team_authenticator> authenticator_;
    sharded<ledger> ledgers_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_TEAM_DESK_HPP

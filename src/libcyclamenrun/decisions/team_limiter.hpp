#ifndef CYCLAMENRUN_TEAM_LIMITER_HPP
#define CYCLAMENRUN_TEAM_LIMITER_HPP

#include "clock.hpp"
#include "refusal.hpp"
#include "token_bucket.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace cyclamenrun
{

/** Limits of a team over all entries; 0: no limit. */
struct team_limits {
    std::uint32_t max_concurrent = 0;
    std::uint64_t tokens_per_second = 0;
};

/**
 * Enforces the limits of teams at one entry.
 *
 * Entries don't communicate. The balancer spreads callers evenly, so each entry
 * enforces its share of a limit, but allows at least one concurrent request.
 * A token bucket is charged for the prompt at the start and for the output as
 * it is generated. The output's length is not known in advance, so the bucket
 * can go into debt; the team is then refused until the debt is paid off.
 *
 * Bounded: beyond `max_teams`, teams with no running request and no debt are
 * dropped; if there are none, a new team is refused.
 */
class team_limiter
{
public:
    explicit team_limiter(std::size_t max_teams);

    /** Sets the number of entries that share the callers; at least 1. */
    void set_entries(std::uint32_t count);

    /** Admits a request, or refuses it with team_limit and a retry_after. */
    outcome<void> admit(const std::string& team, const team_limits& limits,
                        std::uint32_t prompt_tokens, time_point now);
    void record_output(const std::string& team, std::uint32_t tokens);
    void record_end(const std::string& team);

    std::size_t size() const { return teams_.size(); }

private:
    struct state {
        std::uint32_t running = 0;
        token_bucket bucket;
        double rate = 0.0; ///< this entry's share, in tokens per second
    };

    bool make_room();
    void fill(state& current, const team_limits& limits, time_point now) const;
    std::uint32_t share_of(std::uint32_t limit) const;

    std::size_t max_teams_;
    std::uint32_t entries_ = 1;
    std::unordered_map<std::string, state> teams_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_TEAM_LIMITER_HPP

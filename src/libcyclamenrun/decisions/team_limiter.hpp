#ifndef CYCLAMENRUN_TEAM_LIMITER_HPP
#define CYCLAMENRUN_TEAM_LIMITER_HPP

#include "clock.hpp"
#include "refusal.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace cyclamenrun
{

/** A team's limits over all entries; 0: no limit. */
struct team_limits {
    std::uint32_t max_concurrent = 0;
    std::uint64_t tokens_per_second = 0;
};

/**
 * Holds teams to their limits at one entry. Entries don't talk to each
 * other: each enforces its share of a limit, as the balancer spreads callers
 * evenly, but never less than one request at once. Prompts are charged when
 * they start and output as it is made; since its length isn't known ahead the
 * bucket may go into debt, and the team then waits until it is paid off.
 * Bounded: beyond `max_teams`, teams with nothing running are dropped, and
 * if none can be, a new team is refused.
 */
class team_limiter
{
public:
    explicit team_limiter(std::size_t max_teams);

    /** How many entries share the callers now; 1 or more. */
    void entries(std::uint32_t count);

    /** Refuses with team_limit and a retry_after. */
    outcome<void> start(const std::string& team, const team_limits& limits,
                        std::uint32_t prompt_tokens, time_point now);
    void output(const std::string& team, std::uint32_t tokens);
    void finished(const std::string& team);

    std::size_t size() const { return teams_.size(); }

private:
    struct state {
        std::uint32_t running = 0;
        double tokens = 0.0; ///< left in the bucket; below 0: debt
        double rate = 0.0;   ///< this entry's share, a second
        time_point filled{};
    };

    bool make_room();
    void fill(state& of, const team_limits& limits, time_point now) const;
    std::uint32_t share_of(std::uint32_t limit) const;

    std::size_t max_teams_;
    std::uint32_t entries_ = 1;
    std::unordered_map<std::string, state> teams_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_TEAM_LIMITER_HPP

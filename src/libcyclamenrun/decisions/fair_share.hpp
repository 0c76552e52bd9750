#ifndef CYCLAMENRUN_FAIR_SHARE_HPP
#define CYCLAMENRUN_FAIR_SHARE_HPP

#include <cstdint>
#include <string>
#include <unordered_map>

namespace cyclamenrun
{

/**
 * Virtual token counters for a weighted fair share between teams.
 *
 * Each team is charged the tokens that it used, divided by its weight, and the
 * team with the lowest counter goes first. The counter of a team that was idle
 * is raised to the level of the others, so that idle time earns no credit.
 * Memory is bounded: an account is kept while it is open, and at most
 * `max_idle` closed accounts are kept besides.
 */
class fair_share
{
public:
    struct account {
        std::string team;
        double weight = 1.0;
        double counter = 0.0;         ///< charged tokens, divided by the weight
        std::uint32_t open_count = 0; ///< calls of open() without a close()
    };

    explicit fair_share(std::size_t max_idle) : max_idle_(max_idle) {}

    /** Opens a team's account; valid until the matching close(). */
    account& open(const std::string& team, std::uint32_t weight);
    void close(account& target);

    /**
     * Raises the counter of a team whose queue was empty to the lowest
     * counter of the waiting teams, but not beyond the virtual time, which is
     * the highest counter served so far.
     */
    void raise_to_virtual_time(account& target, double lowest_waiting) const;
    void charge(account& target, double tokens);
    /** Raises the virtual time to the counter of an account that is served. */
    void record_served(const account& target);

    std::size_t size() const { return accounts_.size(); }

private:
    void drop_idle();

    std::size_t max_idle_;
    std::size_t idle_ = 0;
    double virtual_time_ = 0.0;
    std::unordered_map<std::string, account> accounts_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_FAIR_SHARE_HPP

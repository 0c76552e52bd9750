#ifndef CYCLAMENRUN_FAIR_SHARE_HPP
#define CYCLAMENRUN_FAIR_SHARE_HPP

#include <cstdint>
#include <string>
#include <unordered_map>

namespace cyclamenrun
{

/**
 * Virtual token counters: each team is charged the tokens it has had, divided
 * by its weight, and whoever has had least goes first. A team that comes back
 * after a rest starts from where the others stand, so that rest cannot be
 * saved up. Bounded by the work it is asked about: an account lives while
 * someone holds it, and at most `max_idle` others are remembered.
 */
class fair_share
{
public:
    struct account {
        std::string team;
        double weight = 1.0;
        double counter = 0.0;
        std::uint32_t holders = 0;
    };

    explicit fair_share(std::size_t max_idle) : max_idle_(max_idle) {}

    /** Stays valid until the close() that matches. */
    account& open(const std::string& team, std::uint32_t weight);
    void close(account& of);

    /**
     * Its queue was empty and no longer is: it starts with the least of
     * those that wait, or where service has got to if none does.
     */
    void lift(account& of, double least_waiting) const;
    void charge(account& of, double tokens);
    /** The account is served next: nobody may start behind it. */
    void served(const account& of);

    std::size_t size() const { return accounts_.size(); }

private:
    void drop_idle();

    std::size_t max_idle_;
    std::size_t idle_ = 0;
    double floor_ = 0.0;
    std::unordered_map<std::string, account> accounts_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_FAIR_SHARE_HPP

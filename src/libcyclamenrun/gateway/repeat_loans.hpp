#ifndef CYCLAMENRUN_REPEAT_LOANS_HPP
#define CYCLAMENRUN_REPEAT_LOANS_HPP

#include "shared_retry_budget.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace cyclamenrun::v1
{
class PeerMessage;
class RepeatLoan;
} // namespace cyclamenrun::v1

namespace cyclamenrun
{

/**
 * Lets gateways that are short of repeats borrow from others, since engines
 * that leave hit some gateways harder. Does no I/O; datagrams may be lost,
 * delayed or repeated.
 */
class repeat_loans
{
public:
    repeat_loans(shared_retry_budget& budget, std::mt19937_64& random)
        : budget_(budget), random_(random)
    {
    }

    /** What to ask of each of a few gateways now; empty: nothing. */
    std::optional<v1::PeerMessage> request(boot_time now);
    /** Handles a gateway's requests and grants; returns the grants to it. */
    std::optional<v1::PeerMessage> handle(const std::string& host,
                                          const v1::PeerMessage& message,
                                          boot_time now);

private:
    struct round {
        std::string service;
        double asked = 0; ///< of each gateway
        boot_time requested_at;
        std::vector<std::string> granted_by;
    };

    void take_grant(const std::string& host, const v1::RepeatLoan& granted,
                    boot_time now);

    shared_retry_budget& budget_;
    std::mt19937_64& random_;
    std::map<std::uint64_t, round> rounds_; ///< by number
    boot_time next_round_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_REPEAT_LOANS_HPP

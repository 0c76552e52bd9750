#include "repeat_loans.hpp"

#include "peers.pb.h"

#include <algorithm>

namespace cyclamenrun
{

namespace
{

/** Bounds the datagrams of a gateway that stays short. */
constexpr milliseconds round_interval{50};
/** Services in one datagram. */
constexpr int max_loans = 8;
constexpr std::size_t max_service_bytes = 256;

} // namespace

std::optional<v1::PeerMessage> repeat_loans::request(boot_time now)
{
    v1::PeerMessage wanted;
    if (now < next_round_)
        return std::nullopt;
    std::erase_if(rounds_, [now](const auto& entry) {
        return now - entry.second.requested_at >= loan_time;
    });
    for (const auto& service : budget_.short_services(now)) {
        if (wanted.loans_size() == max_loans)
            break;
        // Several gateways are asked, and some have nothing to lend.
        const double asked = std::max(1U, budget_.shortage(service, now)) / 2.0;
        const auto number = random_();
        rounds_[number] = {service, asked, now, {}};
        auto& loan = *wanted.add_loans();
        loan.set_service(service);
        loan.set_amount(asked);
        loan.set_number(number);
    }
    if (wanted.loans_size() == 0)
        return std::nullopt;
    next_round_ = now + round_interval;
    return wanted;
}

std::optional<v1::PeerMessage>
repeat_loans::handle(const std::string& host, const v1::PeerMessage& message,
                     boot_time now)
{
    v1::PeerMessage grants;
    const int count = std::min(message.loans_size(), max_loans);
    for (int i = 0; i < count; ++i) {
        const auto& loan = message.loans(i);
        if (loan.service().size() > max_service_bytes)
            continue;
        if (loan.granted()) {
            take_grant(host, loan, now);
            continue;
        }
        const double lent = budget_.lend(loan.service(), loan.amount(), now);
        if (lent <= 0)
            continue;
        auto& grant = *grants.add_loans();
        grant = loan;
        grant.set_granted(true);
        grant.set_amount(lent);
    }
    if (grants.loans_size() == 0)
        return std::nullopt;
    return grants;
}

void repeat_loans::take_grant(const std::string& host,
                              const v1::RepeatLoan& granted, boot_time now)
{
    const auto found = rounds_.find(granted.number());
    if (found == rounds_.end() || found->second.service != granted.service())
        return;
    auto& asked = found->second;
    const bool repeated =
        std::find(asked.granted_by.begin(), asked.granted_by.end(), host) !=
        asked.granted_by.end();
    if (repeated)
        return;
    asked.granted_by.push_back(host);
    budget_.borrow(asked.service, std::min(granted.amount(), asked.asked),
                   asked.requested_at, now);
}

} // namespace cyclamenrun

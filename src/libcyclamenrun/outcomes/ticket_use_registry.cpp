#include "ticket_use_registry.hpp"

#include "link.pb.h"

namespace cyclamenrun
{

namespace
{

/** Exceeds the expiry of any issued ticket; a larger one is refused. */
constexpr std::uint64_t max_expiry_ms = std::uint64_t{1} << 42U;

} // namespace

ticket_use_registry::ticket_use_registry(std::string link_key,
                                         std::string upstream,
                                         std::uint64_t incarnation,
                                         time_point started_at,
                                         std::size_t capacity)
    : authority_(std::move(link_key)), upstream_(std::move(upstream)),
      incarnation_(incarnation), started_at_(started_at), capacity_(capacity)
{
}

outcome<std::optional<ticket_use_registry::use>>
ticket_use_registry::check(const link::Dispatch& dispatch, time_point now) const
{
    const auto& ticket = dispatch.ticket();
    if (!authority_.has_valid_signature(ticket) ||
        ticket.expiry_ms() > max_expiry_ms)
        return tl::unexpected(
            not_run(refusal_reason::ticket_invalid,
                    "ticket has an invalid signature or expiry"));
    if (ticket.team() != dispatch.team() ||
        ticket.service() != dispatch.service())
        return tl::unexpected(
            not_run(refusal_reason::ticket_invalid,
                    "ticket was issued for another team or service"));
    // An earlier incarnation may have run the call and its records are lost, so
    // neither a not_run refusal nor a second run would be correct.
    if (ticket.upstream() != upstream_ || ticket.incarnation() != incarnation_)
        return tl::unexpected(outcome_unknown(
            refusal_reason::wrong_incarnation,
            "ticket was issued for another upstream or incarnation"));

    const auto known = uses_.find(ticket.nonce());
    if (known != uses_.end()) {
        if (known->second.fingerprint != dispatch.fingerprint())
            return tl::unexpected(not_run(refusal_reason::ticket_invalid,
                                          "ticket was used for another call"));
        return known->second;
    }
    if (now >= expiry_of(dispatch))
        return tl::unexpected(outcome_unknown(refusal_reason::ticket_expired,
                                              "ticket has expired"));
    return std::nullopt;
}

bool ticket_use_registry::record_use(const link::Dispatch& dispatch,
                                     std::uint64_t work, time_point now)
{
    if (uses_.size() >= capacity_)
        std::erase_if(uses_, [now](const auto& known) {
            return now >= known.second.expiry;
        });
    if (uses_.size() >= capacity_)
        return false;
    uses_[dispatch.ticket().nonce()] = {work, dispatch.fingerprint(),
                                        expiry_of(dispatch)};
    return true;
}

void ticket_use_registry::remove_use(const link::Dispatch& dispatch)
{
    uses_.erase(dispatch.ticket().nonce());
}

time_point ticket_use_registry::expiry_of(const link::Dispatch& dispatch) const
{
    return started_at_ + milliseconds(dispatch.ticket().expiry_ms());
}

} // namespace cyclamenrun

#ifndef CYCLAMENRUN_TICKET_AUTHORITY_HPP
#define CYCLAMENRUN_TICKET_AUTHORITY_HPP

#include "refusal.hpp"

#include <string>
#include <string_view>

namespace cyclamenrun::link
{
class Ticket;
}

namespace cyclamenrun
{

/** What a ticket permits and until when. */
struct ticket_terms {
    std::string upstream;
    std::uint64_t incarnation = 0;
    std::string team;
    std::string service;
    /** In ms of the agent's own uptime, so that no wall clock is trusted. */
    std::uint64_t expiry_ms = 0;
};

/**
 * Mints and checks tickets. Any entry can mint one without asking the agent,
 * because what makes a ticket good is the link key that both hold.
 */
class ticket_authority
{
public:
    explicit ticket_authority(std::string link_key);

    link::Ticket mint(const ticket_terms& terms) const;

    /** Whether this authority's key signed the ticket. */
    bool genuine(const link::Ticket& ticket) const;

    /** The form in which callers hold a ticket: printable ASCII. */
    static std::string to_text(const link::Ticket& ticket);
    static outcome<link::Ticket> from_text(std::string_view text);

private:
    std::string signature(const link::Ticket& ticket) const;

    std::string key_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_TICKET_AUTHORITY_HPP

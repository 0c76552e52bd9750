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

/** What a ticket permits, and its expiry. */
struct ticket_terms {
    std::string upstream;
    std::uint64_t incarnation = 0;
    std::string team;
    std::string service;
    /** In ms of the agent's uptime: wall clocks are not trusted. */
    std::uint64_t expiry_ms = 0;
};

/**
 * Issues and verifies tickets. An entry can issue a ticket without contacting
 * the agent, because a ticket is signed with the link key that both have.
 */
class ticket_authority
{
public:
    explicit ticket_authority(std::string link_key);

    link::Ticket mint(const ticket_terms& terms) const;

    /** Whether the ticket is signed with this authority's key. */
    bool has_valid_signature(const link::Ticket& ticket) const;

    /** Encodes a ticket as printable ASCII, the form that callers receive. */
    static std::string to_text(const link::Ticket& ticket);
    /** Decodes a ticket; does not verify its signature. */
    static outcome<link::Ticket> from_text(std::string_view text);

private:
    std::string signature(const link::Ticket& ticket) const;

    std::string key_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_TICKET_AUTHORITY_HPP

#include "ticket_authority.hpp"

#include "digest.hpp"
#include "link.pb.h"
#include "message_reader.hpp"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>
#include <sstream>

namespace cyclamenrun
{

namespace
{

constexpr std::size_t max_ticket_text_bytes = 1024;
constexpr std::string_view base64_digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/=";

refusal invalid_ticket(std::string detail)
{
    return not_run(refusal_reason::ticket_invalid, std::move(detail));
}

/** Prefixes the field with its length: different field lists never collide. */
void append_field(std::string& bytes, std::string_view field)
{
    bytes += std::to_string(field.size());
    bytes += ':';
    bytes += field;
}

/** Returns an empty string if `text` is not valid base64. */
std::string decode_base64(std::string_view text)
{
    std::istringstream encoded{std::string(text)};
    Poco::Base64Decoder decoder(encoded);
    try {
        return {std::istreambuf_iterator<char>(decoder), {}};
    } catch (const Poco::Exception&) {
        return {};
    }
}

} // namespace

ticket_authority::ticket_authority(std::string link_key)
    : key_(std::move(link_key))
{
}

link::Ticket ticket_authority::mint(const ticket_terms& terms) const
{
    link::Ticket ticket;
    ticket.set_upstream(terms.upstream);
    ticket.set_incarnation(terms.incarnation);
    ticket.set_team(terms.team);
    ticket.set_service(terms.service);
    ticket.set_nonce(random_u64());
    ticket.set_expiry_ms(terms.expiry_ms);
    ticket.set_mac(signature(ticket));
    return ticket;
}

bool ticket_authority::has_valid_signature(const link::Ticket& ticket) const
{
    return constant_time_equal(ticket.mac(), signature(ticket));
}

std::string ticket_authority::to_text(const link::Ticket& ticket)
{
    std::ostringstream text;
    Poco::Base64Encoder encoder(text);
    encoder.rdbuf()->setLineLength(0);
    encoder << ticket.SerializeAsString();
    encoder.close();
    return text.str();
}

outcome<link::Ticket> ticket_authority::from_text(std::string_view text)
{
    if (text.empty() || text.size() > max_ticket_text_bytes)
        return tl::unexpected(invalid_ticket("ticket is empty or too long"));
    if (text.find_first_not_of(base64_digits) != std::string_view::npos)
        return tl::unexpected(
            invalid_ticket("ticket contains a character outside base64"));
    const auto bytes = decode_base64(text);
    link::Ticket ticket;
    if (!read_checked(bytes, ticket) || ticket.upstream().empty())
        return tl::unexpected(invalid_ticket("ticket cannot be decoded"));
    return ticket;
}

std::string ticket_authority::signature(const link::Ticket& ticket) const
{
    std::string bytes = "cyclamenrun ticket 1 ";
    append_field(bytes, ticket.upstream());
    append_field(bytes, std::to_string(ticket.incarnation()));
    append_field(bytes, ticket.team());
    append_field(bytes, ticket.service());
    append_field(bytes, std::to_string(ticket.nonce()));
    append_field(bytes, std::to_string(ticket.expiry_ms()));
    return std::string(view_of(hmac_sha256(key_, bytes)));
}

} // namespace cyclamenrun

#include "ip_endpoint.hpp"

#include <Poco/Net/IPAddress.h>
#include <charconv>

namespace cyclamenrun
{

namespace
{

std::optional<std::uint16_t> parse_port(std::string_view text)
{
    std::uint16_t port = 0;
    const auto* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, port);
    if (error != std::errc() || stop != end)
        return std::nullopt;
    return port;
}

/** Removes the brackets; returns "" for an IPv6 address without them. */
std::string host_of(std::string_view text)
{
    const bool bracketed =
        text.size() > 2 && text.front() == '[' && text.back() == ']';
    if (bracketed)
        return std::string(text.substr(1, text.size() - 2));
    if (text.find(':') != std::string_view::npos)
        return {};
    return std::string(text);
}

} // namespace

std::string to_string(const ip_endpoint& endpoint)
{
    const bool is_v6 = endpoint.host.find(':') != std::string::npos;
    const auto host = is_v6 ? '[' + endpoint.host + ']' : endpoint.host;
    return host + ':' + std::to_string(endpoint.port);
}

std::optional<ip_endpoint> parse_ip_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const auto port = parse_port(text.substr(colon + 1));
    auto host = host_of(text.substr(0, colon));
    Poco::Net::IPAddress address;
    if (!port || !Poco::Net::IPAddress::tryParse(host, address))
        return std::nullopt;
    return ip_endpoint{std::move(host), *port};
}

} // namespace cyclamenrun

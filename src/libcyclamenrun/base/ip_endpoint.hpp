#ifndef CYCLAMENRUN_IP_ENDPOINT_HPP
#define CYCLAMENRUN_IP_ENDPOINT_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/** An IP address and a port. Host names are not resolved. */
struct ip_endpoint {
    std::string host;       ///< Without the brackets of IPv6.
    std::uint16_t port = 0; ///< 0: the system chooses a port to listen on.

    bool operator==(const ip_endpoint&) const = default;
};

std::string to_string(const ip_endpoint& endpoint);

/** Parses `IP:PORT` or `[IP]:PORT`; returns nothing for other text. */
std::optional<ip_endpoint> parse_ip_endpoint(std::string_view text);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_IP_ENDPOINT_HPP

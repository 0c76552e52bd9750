#ifndef CYCLAMENRUN_IP_ENDPOINT_HPP
#define CYCLAMENRUN_IP_ENDPOINT_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/** An IP number and a port; names are not resolved. */
struct ip_endpoint {
    std::string host;       ///< without the brackets of IPv6
    std::uint16_t port = 0; ///< 0: the system chooses when listening

    bool operator==(const ip_endpoint&) const = default;
};

std::string to_string(const ip_endpoint& endpoint);

/** Reads `IP:PORT` or `[IP]:PORT`; empty for anything else. */
std::optional<ip_endpoint> parse_ip_endpoint(std::string_view text);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_IP_ENDPOINT_HPP

#ifndef CYCLAMENRUN_RELAY_CHOICE_HPP
#define CYCLAMENRUN_RELAY_CHOICE_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenrun
{

/** A VM whose monitor can read the directory for gateways. */
struct relay_candidate {
    std::string host;
    std::string failure_domain;
};

/** Number of relays that a number of gateways needs. */
std::size_t relay_count(std::size_t gateways);

/**
 * Returns the hosts of up to `count` monitors that read the directory for a
 * gateway, in the gateway's order of preference.
 *
 * Gateways with the same candidates choose the same few relays without
 * communication, by rendezvous hashing, so that an added or removed candidate
 * changes at most one of the relays. The relays are in different
 * failure domains if there are enough, and the gateways are spread over them.
 * The load on the directory thus grows with the number of relays, not with
 * the number of gateways.
 */
std::vector<std::string>
choose_relays(const std::vector<relay_candidate>& candidates,
              std::string_view gateway, std::size_t count);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_RELAY_CHOICE_HPP

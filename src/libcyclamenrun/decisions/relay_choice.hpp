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

/** Monitors that read the directory for so many gateways. */
std::size_t relay_count(std::size_t gateways);

/**
 * The monitors that a gateway asks to read the directory, the first choice
 * first. Gateways that know the same candidates choose the same few without
 * talking to each other, by a rendezvous hash, so that one that comes or goes
 * changes one place. They lie in different failure domains where there are
 * enough, and the gateways spread over them.
 *
 * Answers the load of a large fleet on the directory: its reads grow with the
 * number of relays, not with that of gateways.
 */
std::vector<std::string>
choose_relays(const std::vector<relay_candidate>& candidates,
              std::string_view gateway, std::size_t count);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_RELAY_CHOICE_HPP

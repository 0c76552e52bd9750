#ifndef CYCLAMENRUN_CONFIGURATION_RECOVERY_HPP
#define CYCLAMENRUN_CONFIGURATION_RECOVERY_HPP

#include "clock.hpp"
#include "operator.pb.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cyclamenrun
{

class configuration_store;
struct tail_status;

/**
 * Restores an entry's configuration from a peer when the log can't provide it:
 * the log is unavailable, or records expired before this entry read them.
 * Peers are processes that hold a configuration; an entry queries agents. An
 * accepted change therefore survives the loss of the entry that accepted it as
 * long as one agent that holds it is alive.
 */
class configuration_recovery
{
public:
    /**
     * Fetches the peer's configuration_store::serialized_state(). Returns an
     * empty string if the peer has no state or does not respond.
     */
    using query_function = std::function<std::string(const std::string& peer)>;

    configuration_recovery(configuration_store& store,
                           query_function query_peer);

    /**
     * If the log can't provide the configuration, queries the peers that last
     * reported a higher revision than this entry's, highest first, until one
     * returns a newer state. Returns true if the store was restored from it.
     * May block while it queries a peer.
     */
    bool poll(const tail_status& tail,
              const std::vector<v1::ProcessRevision>& peers, time_point now);

    /** Maximum number of peers queried per poll. */
    static constexpr std::size_t max_queried_peers = 3;
    /** Consecutive failed reads of the log before peers are queried. */
    static constexpr std::uint32_t min_failures = 2;
    /** Minimum time between two polls that query peers. */
    static constexpr milliseconds query_interval{1'000};

private:
    bool is_needed(const tail_status& tail) const;
    std::vector<v1::ProcessRevision>
    peers_ahead_of(std::uint64_t revision,
                   const std::vector<v1::ProcessRevision>& peers) const;

    configuration_store& store_;
    query_function query_peer_;
    time_point next_query_at_ = time_point::min();
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CONFIGURATION_RECOVERY_HPP

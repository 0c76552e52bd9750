#ifndef CYCLAMENRUN_POISON_MARK_SYNC_HPP
#define CYCLAMENRUN_POISON_MARK_SYNC_HPP

#include "clock.hpp"
#include "link.pb.h"
#include "poison_register.hpp"
#include "relay_request.hpp"

#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <unordered_map>

namespace cyclamenrun
{

/**
 * An entry's register of poison marks, and the version of it that each agent
 * has received. Marks reach other entries through the agents with which both
 * exchange heartbeats.
 */
class poison_mark_sync
{
public:
    poison_mark_sync(std::size_t capacity, duration mark_lifetime);

    poison_verdict verdict(std::uint64_t fingerprint, time_point now) const;
    /**
     * Marks a request whose agent was lost while the request was on it. The
     * entry can't distinguish a dead agent from an unreachable one, so the mark
     * is withdrawn if the same incarnation of the agent responds again.
     */
    void agent_lost(std::uint64_t fingerprint, const route_target& agent,
                    time_point now);

    /** Marks a request whose engine was lost, as its agent reported. */
    void engine_lost(std::uint64_t fingerprint, std::uint64_t loss,
                     time_point now);

    /** Adds the marks that the agent has not received yet to the heartbeat. */
    void write_marks(const std::string& upstream, link::Heartbeat& heartbeat);
    /** Merges the agent's marks, and records which marks it has received. */
    void read_marks(const std::string& upstream,
                    const link::HeartbeatReply& reply, time_point now);
    std::size_t size() const;

private:
    struct peer {
        std::uint64_t incarnation = 0;
        /** Version of this entry's marks that the peer has. */
        std::uint64_t merged_version = 0;
        /** Version of this entry's marks in the last heartbeat. */
        std::uint64_t sent_version = 0;
        /** Version of the peer's marks that are merged here. */
        std::uint64_t received_version = 0;
    };

    mutable std::mutex mutex_;
    poison_register marks_;
    std::unordered_map<std::string, peer> peers_;
    /** Ids of reported agent losses, to clear if the agent responds again. */
    std::set<std::uint64_t> reported_losses_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_POISON_MARK_SYNC_HPP

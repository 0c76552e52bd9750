#ifndef CYCLAMENRUN_POISON_MARK_SYNC_HPP
#define CYCLAMENRUN_POISON_MARK_SYNC_HPP

#include "clock.hpp"
#include "link.pb.h"
#include "poison_admission.hpp"
#include "poison_register.hpp"
#include "relay_request.hpp"

#include <cstdint>
#include <mutex>
#include <optional>
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

    /** Admits a request before each send, see admit_send(). */
    poison_admission admit(const suspected_work& work, solo_run& claim,
                           time_point now);
    void end_solo(solo_run& claim);
    /** Why the request is refused; empty: it is not. */
    std::optional<poison_grounds> grounds(const suspected_work& work,
                                          time_point now) const;
    /**
     * Marks a request whose agent was lost while the request was on it. The
     * entry can't distinguish a dead agent from an unreachable one, so the mark
     * is withdrawn if the same incarnation of the agent responds again.
     */
    void agent_lost(lost_run run, const route_target& agent, time_point now);

    /** Marks a request whose engine was lost, as its agent reported. */
    void engine_lost(const lost_run& run, time_point now);

    /** Counts the changes that agents are to be told of. */
    std::uint64_t version() const;
    /** Adds the marks that the agent has not received yet to the heartbeat. */
    void write_marks(const std::string& upstream, link::Heartbeat& heartbeat,
                     time_point now);
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

#ifndef CYCLAMENRUN_POISON_WATCH_HPP
#define CYCLAMENRUN_POISON_WATCH_HPP

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
 * An entry's register of poison marks, and how far each agent has been told
 * of it. Marks reach other entries through the agents that both beat with.
 */
class poison_watch
{
public:
    poison_watch(std::size_t capacity, duration mark_life);

    poison_verdict verdict(std::uint64_t fingerprint, time_point now) const;
    /**
     * An agent was lost with this on it. Whether it died or was only cut off
     * can't be told yet, so the mark is taken back if that same life of the
     * agent is heard again.
     */
    void agent_lost(std::uint64_t fingerprint, const route_target& agent,
                    time_point now);

    /** An engine was lost with this on it; its agent named the loss. */
    void engine_lost(std::uint64_t fingerprint, std::uint64_t loss,
                     time_point now);

    /** Puts what the agent has not been told into the heartbeat. */
    void write_marks(const std::string& upstream, link::Heartbeat& heartbeat);
    void read_marks(const std::string& upstream,
                    const link::HeartbeatReply& reply, time_point now);
    std::size_t size() const;

private:
    struct peer {
        std::uint64_t incarnation = 0;
        std::uint64_t told = 0; // of our version
        std::uint64_t sent = 0; // with the heartbeat under way
        std::uint64_t seen = 0; // of the peer's version
    };

    mutable std::mutex mutex_;
    poison_register marks_;
    std::unordered_map<std::string, peer> peers_;
    /** Losses that this entry reported, of agents that may yet be heard. */
    std::set<std::uint64_t> reported_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_POISON_WATCH_HPP

#ifndef CYCLAMENRUN_AGENT_CLOCKS_HPP
#define CYCLAMENRUN_AGENT_CLOCKS_HPP

#include "clock.hpp"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace cyclamenrun
{

/**
 * Reads agents' uptimes from their last reports, so that a ticket's expiry
 * can be written in its agent's own time. The way of a report only makes the
 * reading late: a ticket then expires early, never late.
 */
class agent_clocks
{
public:
    struct reading {
        std::uint64_t incarnation = 0;
        std::uint64_t uptime_ms = 0;
    };

    void note(const std::string& upstream, std::uint64_t incarnation,
              std::uint64_t uptime_ms, time_point now);
    void forget(const std::string& upstream);
    std::optional<reading> read(const std::string& upstream,
                                time_point now) const;

private:
    struct report {
        std::uint64_t incarnation = 0;
        time_point started_at; ///< by this process's clock
    };

    mutable std::mutex mutex_;
    std::unordered_map<std::string, report> reports_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_AGENT_CLOCKS_HPP

#ifndef CYCLAMENRUN_AGENT_UPTIMES_HPP
#define CYCLAMENRUN_AGENT_UPTIMES_HPP

#include "clock.hpp"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace cyclamenrun
{

/**
 * Estimates agents' uptimes from their last reports. A ticket's expiry is given
 * as an uptime of its agent. The transit time of a report makes the estimate
 * too low, so that a ticket may expire early but never late.
 */
class agent_uptimes
{
public:
    struct estimate {
        std::uint64_t incarnation = 0;
        std::uint64_t uptime_ms = 0;
    };

    void record_report(const std::string& upstream, std::uint64_t incarnation,
                       std::uint64_t uptime_ms, time_point now);
    void remove(const std::string& upstream);
    /** Empty if the upstream's agent has sent no report. */
    std::optional<estimate> estimate_of(const std::string& upstream,
                                        time_point now) const;

private:
    struct report {
        std::uint64_t incarnation = 0;
        time_point started_at; ///< on this process's clock
    };

    mutable std::mutex mutex_;
    std::unordered_map<std::string, report> reports_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_AGENT_UPTIMES_HPP

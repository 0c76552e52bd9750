#ifndef CYCLAMENRUN_UPSTREAM_RECORD_HPP
#define CYCLAMENRUN_UPSTREAM_RECORD_HPP

#include "clock.hpp"
#include "engine_load_estimate.hpp"
#include "ip_endpoint.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

namespace cyclamenrun
{

/** An upstream's record in the platform's directory. */
struct upstream_record {
    std::string id;
    std::string service;
    ip_endpoint address;
    std::string failure_domain;
    unsigned slots = 0; ///< requests that it can run at a time
    bool draining = false;
    /**
     * Version of its software; empty: unknown. What different versions write
     * does not fit together.
     */
    std::string version;
    /**
     * Start of the process in Unix milliseconds; another value means another
     * process.
     */
    std::int64_t started_ms = 0;
    /**
     * Until when it is cold; a time that has passed: it is not. Empty: not
     * stated.
     */
    std::optional<time_point> cold_until = std::nullopt;

    /**
     * `cold_until` is not compared: it differs at each read by the time that
     * the record was on its way.
     */
    bool operator==(const upstream_record& other) const
    {
        const auto members = [](const upstream_record& each) {
            return std::tie(each.id, each.service, each.address,
                            each.failure_domain, each.slots, each.draining,
                            each.version, each.started_ms);
        };
        return members(*this) == members(other);
    }
};

/** Whether two records with one id are of different processes. */
inline bool is_other_process(const upstream_record& left,
                             const upstream_record& right)
{
    const bool versions_differ = !left.version.empty() &&
                                 !right.version.empty() &&
                                 left.version != right.version;
    return versions_differ || left.started_ms != right.started_ms ||
           left.address != right.address;
}

/** One change of the directory; without a record the upstream was removed. */
struct upstream_change {
    std::string id;
    std::optional<upstream_record> record;
};

/** Load of a model engine, as measured on its own host. */
struct engine_load {
    std::uint32_t running = 0;
    std::uint32_t starting = 0; ///< of `running`: those in prefill
    std::uint32_t queued = 0;
    std::vector<resident_generation> generations; ///< that have begun
    /** Prompt of the first queued request. */
    std::uint32_t next_prompt_tokens = 0;
    std::uint64_t memory_used = 0;  ///< tokens that can't be evicted
    std::uint64_t memory_total = 0; ///< tokens
    /**
     * Time needed to prefill the prompts ahead of a new one. Reported, like the
     * prefill speed, by the monitor only and not by the engine itself.
     */
    milliseconds prefill_backlog{0};
    double prefill_tokens_per_ms = 0; ///< 0: not reported
    bool leaving = false;
    std::optional<std::uint32_t> leaves_in_ms; ///< empty if not known
    /** Start of its process, in ms since the Unix epoch; 0: not named. */
    std::int64_t started_ms = 0;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_UPSTREAM_RECORD_HPP

#ifndef CYCLAMENRUN_UPSTREAM_LIMITS_HPP
#define CYCLAMENRUN_UPSTREAM_LIMITS_HPP

#include "clock.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace cyclamenrun
{

/**
 * Limits that upstreams name in their answers: the requests a second that one
 * takes from all gateways together, for as long as its answers say so. No I/O.
 */
class upstream_limits
{
public:
    /**
     * Records what an answer says; empty: the upstream names no limit. Returns
     * true if that changes what is known.
     */
    bool record_answer(const std::string& upstream, std::optional<double> limit,
                       time_point now);
    /** Requests a second; empty: no limit is known. */
    std::optional<double> limit_of(const std::string& upstream,
                                   time_point now) const;
    /** Number of upstreams with a limit. */
    std::size_t count_limited(time_point now) const;

private:
    struct record {
        std::optional<double> limit; ///< empty: lifted
        time_point observed_at;
    };

    record* find_or_add(const std::string& upstream, time_point now);

    std::unordered_map<std::string, record> records_; ///< by upstream id
};

/** Maximum number of upstreams with a known limit; further ones are ignored. */
inline constexpr std::size_t max_limited_upstreams = 4096;

} // namespace cyclamenrun

#endif // CYCLAMENRUN_UPSTREAM_LIMITS_HPP

#ifndef CYCLAMENRUN_UPSTREAM_LIMITS_HPP
#define CYCLAMENRUN_UPSTREAM_LIMITS_HPP

#include "clock.hpp"
#include "cold_limits.hpp"
#include "token_bucket.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenrun
{

/** What an answer of an upstream said about its limit. */
struct limit_observation {
    std::string upstream;
    std::optional<double> limit; ///< requests a second; empty: none
    time_point observed_at;
};

/**
 * Limits that upstreams name in their answers: the requests a second that one
 * takes from all gateways together, for as long as its answers say so. No I/O.
 *
 * Each gateway uses an equal share of a limit, so that a request needs no
 * communication. A gateway saves up one request at most. The first one is
 * allowed after a random part of the time between two, so that gateways which
 * learn of a limit at the same moment do not send at the same moment.
 *
 * An upstream that is cold has a limit of its own kind as well, see
 * cold_limits; the tighter one binds.
 */
class upstream_limits
{
public:
    explicit upstream_limits(std::mt19937_64& random) : random_(random) {}

    /** Sets the number of gateways that share the limits; at least 1. */
    void set_gateway_count(std::size_t count);
    std::size_t gateway_count() const { return gateways_; }

    /**
     * Records what an answer says; empty: the upstream names no limit. Returns
     * true if that changes what is known.
     */
    bool record_answer(const std::string& upstream, std::optional<double> limit,
                       time_point now);
    /** Merges what another gateway has observed; returns true on a change. */
    bool merge(const limit_observation& observed, time_point now);

    /** Limits of upstreams that are cold. */
    cold_limits& cold() { return cold_; }
    const cold_limits& cold() const { return cold_; }

    /**
     * Another process uses the id of the upstream: it has named no limit. What
     * others observed of its predecessor before is not merged any more.
     */
    void forget(const std::string& upstream, time_point now);

    /** Requests a second; empty: no limit is known. */
    std::optional<double> limit_of(const std::string& upstream,
                                   time_point now) const;
    /** Number of upstreams with a limit. */
    std::size_t count_limited(time_point now) const;

    /** Whether this gateway may send a request to the upstream now. */
    bool has_room(const std::string& upstream, time_point now) const;
    /** Time until then. */
    milliseconds time_to_room(const std::string& upstream,
                              time_point now) const;
    /**
     * Counts a request that was sent. One that had to be sent without room
     * delays later ones.
     */
    void record_send(const std::string& upstream, time_point now);
    /**
     * Time after which a caller that is refused should return. Callers of one
     * upstream are spread over time at the rate at which it takes requests.
     */
    milliseconds reserve_return(const std::string& upstream, time_point now);

    /** Counts the changes that other gateways need to know. */
    std::uint64_t version() const { return version_; }
    struct batch {
        std::vector<limit_observation> observations;
        std::uint64_t version = 0; ///< that they reach
    };
    /** Returns the oldest observations since a version. */
    batch oldest_since(std::uint64_t version, std::size_t count,
                       time_point now) const;

private:
    struct record {
        std::optional<double> limit; ///< empty: lifted
        time_point observed_at;
        time_point shared_at;      ///< observation that others were last told
        std::uint64_t changed = 0; ///< version of the last change
        token_bucket bucket;
        time_point next_return{}; ///< of a refused caller
    };

    record* find_or_add(const std::string& upstream, time_point now);
    const record* find_limited(const std::string& upstream,
                               time_point now) const;
    bool observe(const std::string& upstream, std::optional<double> limit,
                 time_point observed_at, time_point now);
    double share_of(const record& known) const;
    milliseconds time_between_requests(const record& known) const;

    std::mt19937_64& random_;
    cold_limits cold_;
    std::size_t gateways_ = 8; ///< until set; a number too high is safe
    std::uint64_t version_ = 0;
    std::unordered_map<std::string, record> records_; ///< by upstream id
};

/** Maximum number of upstreams with a known limit; further ones are ignored. */
inline constexpr std::size_t max_limited_upstreams = 4096;

} // namespace cyclamenrun

#endif // CYCLAMENRUN_UPSTREAM_LIMITS_HPP

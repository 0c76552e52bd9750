#ifndef CYCLAMENRUN_COLD_LIMITS_HPP
#define CYCLAMENRUN_COLD_LIMITS_HPP

#include "clock.hpp"
#include "cold_share.hpp"
#include "gateway_ranking.hpp"
#include "token_bucket.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cyclamenrun
{

/** Which gateways there are, as far as this one knows. */
struct known_gateways {
    std::string own;                 ///< IP address; empty: not known yet
    std::vector<std::string> others; ///< IP addresses
    /** Largest number that is remembered of the last minutes. */
    std::size_t remembered = 0;
    /** This process was paused and may know too little of the others. */
    bool resumed = false;
};

/** Who says until when an upstream is cold. */
enum class cold_source : std::uint8_t {
    listed,   ///< its record in the directory
    answered, ///< its own answers
    presumed, ///< nobody; it has started without a record
    crashed,  ///< nobody; its predecessor under the same id has crashed
};

std::string_view name_of(cold_source source);

/**
 * Limits of upstreams that are cold: for a while after its start, or again
 * later, an upstream takes a bounded number of requests a second from all
 * gateways together and fails beyond it.
 *
 * There are more gateways than requests that may be sent at once, so for each
 * upstream only some gateways send: the first ones in the order of
 * gateway_ranking, each with its own bucket. A part of the gateways that is cut
 * off has as many senders as its part of the remembered number. A gateway that
 * becomes a sender starts with an empty bucket, after the others have learnt of
 * the same change.
 *
 * Not thread-safe, no I/O.
 */
class cold_limits
{
public:
    void set_bounds(const cold_bounds& bounds, time_point now);
    /** False: the deployment has no bound, and nothing is limited. */
    bool enabled() const { return bounds_.overrun > 0; }
    /** Sets the requests a second that each service allows a cold upstream. */
    void set_rates(std::unordered_map<std::string, double> per_s,
                   time_point now);
    /**
     * Sets which gateways share the bound; to be called several times a second.
     * A process that has not done so lately was paused: others may have taken
     * its place as a sender, so it sends nothing until it has settled again.
     */
    void set_gateways(const known_gateways& known, time_point now);
    /** Number of gateways by which the bound is divided. */
    std::size_t divisor() const;

    /**
     * Records until when an upstream is cold; a time that has passed: it is
     * not. Replaces what the same source said before, and a presumption if its
     * record says it; of several sources the longest time counts. Returns true
     * if the upstream was not cold before and is now.
     */
    bool record(const std::string& upstream, const std::string& service,
                cold_source source, time_point until, time_point now);
    /**
     * A cold upstream has just been found and has never got a request from
     * here: if this gateway is a sender, it has saved up all that it may,
     * unless the gateways have changed lately.
     */
    void fill_new(const std::string& upstream, time_point now);
    /** The upstream is gone, or another process uses its id. */
    void forget(const std::string& upstream) { records_.erase(upstream); }
    /** Removes upstreams that are no longer cold and returns them. */
    std::vector<std::string> remove_warm(time_point now);

    /** Time for which the upstream is still cold; zero if it is not. */
    milliseconds cold_left(const std::string& upstream, time_point now) const;
    /** Requests a second from all gateways; empty: not limited. */
    std::optional<double> limit_of(const std::string& upstream,
                                   time_point now) const;
    std::size_t count(time_point now) const;

    /**
     * Time until this gateway may send the upstream a request; zero: it may
     * now. For a gateway that may not send at all, the time in which the
     * gateways together send one request each.
     */
    milliseconds time_to_room(const std::string& upstream,
                              time_point now) const;
    /** Time in which each gateway could send one request. */
    milliseconds time_between_returns(const std::string& upstream,
                                      time_point now) const;
    /** Counts a request; one without room leaves a debt. */
    void record_send(const std::string& upstream, time_point now);

private:
    struct record_state {
        std::string service;
        time_point listed_until{};
        time_point answered_until{};
        cold_share share;
        bool sends = false; ///< this gateway is a sender
        /** The bucket fills from then on. */
        time_point sends_from{};
        token_bucket bucket;

        time_point until() const
        {
            return std::max(listed_until, answered_until);
        }
    };

    const record_state* find_cold(const std::string& upstream,
                                  time_point now) const;
    double rate_of(const std::string& service) const;
    /** Requests a second that all senders together send. */
    static double total_rate(const cold_share& share);
    static void fill(record_state& known, time_point now);
    void divide(const std::string& upstream, record_state& known,
                time_point now) const;
    /** Begins with an empty bucket after the others have settled. */
    void begin_to_send(record_state& known, time_point now) const;
    /** Whether this gateway is among the senders. */
    bool is_sender(const std::string& upstream, const cold_share& share) const;
    void divide_all(time_point now);
    /** Whether this process has just started and may find further gateways. */
    bool is_discovering(time_point now) const;
    /** Whether what is known of the gateways is of a time before a pause. */
    bool is_stale(time_point now) const;
    /** Time in which other gateways learn what this one has learnt. */
    milliseconds settling_time() const;

    cold_bounds bounds_;
    std::unordered_map<std::string, double> rates_; ///< by service
    gateway_ranking ranking_;
    std::size_t remembered_ = 0;
    std::optional<time_point> started_at_; ///< first call of set_gateways()
    time_point gateways_set_at_{};
    time_point gateways_changed_at_{};
    std::unordered_map<std::string, record_state> records_; ///< by upstream id
};

/** A longer time is not believed. */
inline constexpr milliseconds max_cold_time{std::chrono::hours(1)};

/**
 * Deadline of a stated time; the same for all statements of an upstream that it
 * is not cold.
 */
time_point cold_deadline(milliseconds left, time_point now);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_COLD_LIMITS_HPP

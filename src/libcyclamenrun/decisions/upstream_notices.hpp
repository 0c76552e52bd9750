#ifndef CYCLAMENRUN_UPSTREAM_NOTICES_HPP
#define CYCLAMENRUN_UPSTREAM_NOTICES_HPP

#include "clock.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cyclamenrun
{

/** What an upstream says of itself in an answer to this VM. */
struct upstream_notice {
    /** It wants no requests of this VM for so long; empty: not stated. */
    std::optional<milliseconds> rest;
    bool leaving = false; ///< it ends soon and takes no new work
    /** Time for which it is still cold, see cold_limits; empty: not stated. */
    std::optional<milliseconds> cold_left = std::nullopt;
};

/**
 * Parses a rest in seconds, which may have a fraction. Empty for a number that
 * is negative or not finite, and for other text. A rest of more than
 * `max_upstream_rest` is shortened to that.
 */
std::optional<milliseconds> parse_rest(std::string_view seconds);

/**
 * What upstreams have said of themselves to this VM, for as long as it binds.
 * A rest binds to its end, whatever later answers say; leaving binds until
 * another process uses the upstream's id. Does no I/O.
 */
class upstream_notices
{
public:
    /** What a notice has changed. */
    struct change {
        bool rest_extended = false;
        bool leaving_began = false;
    };

    change record(const std::string& upstream, const upstream_notice& notice,
                  time_point now);
    /** Another process uses the id of the upstream. */
    void forget(const std::string& upstream);

    bool is_leaving(const std::string& upstream) const;
    bool is_resting(const std::string& upstream, time_point now) const;
    /** Time until the end of the rest; zero if the upstream does not rest. */
    milliseconds rest_left(const std::string& upstream, time_point now) const;
    std::size_t count_resting(time_point now) const;

private:
    struct record_state {
        time_point rests_until{};
        bool leaving = false;
        time_point recorded_at{};
    };

    void make_room(time_point now);

    std::unordered_map<std::string, record_state> records_; ///< by id
};

/** A longer rest is not believed, so that an upstream can't take itself out. */
inline constexpr milliseconds max_upstream_rest{std::chrono::hours(1)};
/** Bounds the upstreams with a notice; the oldest makes room. */
inline constexpr std::size_t max_noticed_upstreams = 4096;

} // namespace cyclamenrun

#endif // CYCLAMENRUN_UPSTREAM_NOTICES_HPP

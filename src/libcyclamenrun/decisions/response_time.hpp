#ifndef CYCLAMENRUN_RESPONSE_TIME_HPP
#define CYCLAMENRUN_RESPONSE_TIME_HPP

#include "clock.hpp"

#include <optional>
#include <string>
#include <unordered_map>

namespace cyclamenrun
{

/**
 * How long upstreams take to begin a response now: a smoothed mean and its
 * deviation, as TCP keeps them for its retransmission timeout (RFC 6298). Only
 * responses count, not requests that were given up, since those would teach
 * it that mute upstreams are the usual thing.
 */
class response_time
{
public:
    void add(milliseconds took);
    /** Later than this is unusual; empty before the first response. */
    std::optional<milliseconds> usual_bound() const;

private:
    bool known_ = false;
    double mean_ms_ = 0;
    double deviation_ms_ = 0;
};

/** One for each route, in bounded memory. */
class response_times
{
public:
    void add(const std::string& route, milliseconds took);
    std::optional<milliseconds> usual_bound(const std::string& route) const;

private:
    std::unordered_map<std::string, response_time> routes_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_RESPONSE_TIME_HPP

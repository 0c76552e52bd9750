#ifndef CYCLAMENRUN_RESPONSE_TIME_HPP
#define CYCLAMENRUN_RESPONSE_TIME_HPP

#include "clock.hpp"

#include <optional>
#include <string>
#include <unordered_map>

namespace cyclamenrun
{

/**
 * Estimates how long upstreams take to begin a response: a smoothed mean and
 * its deviation, as TCP computes them for its retransmission timeout (RFC
 * 6298). Only responses count. Requests that timed out do not, or upstreams
 * that do not respond would raise the bound that detects them.
 */
class response_time
{
public:
    void add(milliseconds elapsed);
    /** Longest usual response time; empty before the first response. */
    std::optional<milliseconds> usual_bound() const;

private:
    bool has_samples_ = false;
    double mean_ms_ = 0;
    double deviation_ms_ = 0;
};

/** Response times per route, in bounded memory. */
class response_times
{
public:
    void add(const std::string& route, milliseconds elapsed);
    std::optional<milliseconds> usual_bound(const std::string& route) const;

private:
    std::unordered_map<std::string, response_time> routes_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_RESPONSE_TIME_HPP

#include "cold_share.hpp"

#include <algorithm>
#include <cmath>

namespace cyclamenrun
{

namespace
{

/**
 * Fractions of the bound: sent steadily, and saved up by all senders together.
 * Steady sends must exceed half of the bound to use half of it. The rest allows
 * for requests that arrive closer together than they were sent.
 */
constexpr double steady_part = 0.56;
constexpr double saved_part = 0.38;
/**
 * Requests that each sender may at most save up if there are too many gateways
 * for all to send. With exactly one, a sender loses what it would save between
 * the moment it has a request's room and the next request. With the rate that
 * follows, no sender sends more than two requests in a second, so the bound
 * also holds with one sender more than expected: there may be one for a while
 * if gateways restart in a part of the fleet that is cut off.
 */
constexpr double most_capacity = 1.2;

/** Number of senders among more gateways; `saved`: by all together. */
std::size_t count_senders(double saved)
{
    const double wanted = std::ceil(saved / most_capacity);
    return static_cast<std::size_t>(
        std::max(1.0, std::min(wanted, std::floor(saved))));
}

} // namespace

cold_share divide_cold_bound(const cold_bounds& bounds, double per_s,
                             std::size_t gateways)
{
    const double bound = per_s * bounds.overrun + bounds.margin;
    if (per_s <= 0 || bounds.overrun <= 0)
        return {};
    const double saved = saved_part * bound;
    cold_share share;
    share.senders = gateways;
    if (static_cast<double>(gateways) > saved)
        share.senders = count_senders(saved);
    const auto senders = static_cast<double>(share.senders);
    share.capacity = std::max(1.0, saved / senders);
    const double steady =
        std::min(steady_part * bound,
                 (steady_part + saved_part) * bound - share.capacity * senders);
    if (steady <= 0)
        return {};
    share.rate = steady / senders;
    return share;
}

} // namespace cyclamenrun

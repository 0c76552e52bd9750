#ifndef CYCLAMENRUN_COLD_SHARE_HPP
#define CYCLAMENRUN_COLD_SHARE_HPP

#include <cstddef>

namespace cyclamenrun
{

/**
 * Bound on the requests that a cold upstream gets in any second from all
 * gateways together: the rate of its service x `overrun` + `margin`.
 */
struct cold_bounds {
    double overrun = 0; ///< 0: there is no such bound
    double margin = 0;  ///< requests

    bool operator==(const cold_bounds&) const = default;
};

/** How the requests that a cold upstream may get are divided. */
struct cold_share {
    /** Gateways that may send; the others send nothing while it is cold. */
    std::size_t senders = 0;
    double rate = 0;     ///< requests a second of each sender
    double capacity = 0; ///< requests that each sender may save up, at least 1

    bool operator==(const cold_share&) const = default;
};

/**
 * Divides the bound among gateways. All senders together send at most
 * `senders` x (`capacity` + `rate`) in any second, which is less than the
 * bound. No sender if the bound leaves no room for a request.
 *
 * `per_s`: requests a second that the service allows; `gateways`: number that
 * may know of the upstream, at least 1.
 */
cold_share divide_cold_bound(const cold_bounds& bounds, double per_s,
                             std::size_t gateways);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_COLD_SHARE_HPP

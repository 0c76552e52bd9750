#ifndef CYCLAMENRUN_ROUTER_SETTINGS_HPP
#define CYCLAMENRUN_ROUTER_SETTINGS_HPP

#include "clock.hpp"

#include <cstddef>
#include <cstdint>

namespace cyclamenrun
{

struct router_settings {
    /** Upstreams whose load is remembered. */
    std::size_t max_upstreams = 2'048;
    /** Looked at per choice, when there are more; the rest is luck. */
    std::size_t sample = 12;
    /** Prompt tokens for each prefix block. */
    std::uint32_t block_tokens = 64;
    /**
     * Cost of a prompt token that is not cached there: the time to read it
     * is the small part, the memory that a second copy takes is the large.
     */
    double prefix_miss_ms_per_token = 2.0;
    /**
     * Cost of a full memory before anything queues: decode steps grow longer
     * and a burst soon has to wait.
     */
    double full_memory_ms = 2'000.0;
    /** Added cost of another failure domain, and of another region. */
    milliseconds failure_domain_cost{2};
    milliseconds region_cost{50};
    /** When every upstream would keep work waiting longer, it is refused. */
    milliseconds max_wait{20'000};
    bool prefix = true;     ///< affinity; false to measure its worth
    bool own_counts = true; ///< own dispatches; false to measure their worth
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ROUTER_SETTINGS_HPP

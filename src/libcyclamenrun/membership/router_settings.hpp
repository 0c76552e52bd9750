#ifndef CYCLAMENRUN_ROUTER_SETTINGS_HPP
#define CYCLAMENRUN_ROUTER_SETTINGS_HPP

#include "clock.hpp"

#include <cstddef>
#include <cstdint>

namespace cyclamenrun
{

struct router_settings {
    /** Bound on the upstreams whose load and cache are tracked. */
    std::size_t max_upstreams = 2'048;
    /** Candidates compared per choice, drawn at random if there are more. */
    std::size_t sample_size = 12;
    /** Prompt tokens per prefix block. */
    std::uint32_t block_tokens = 64;
    /**
     * Cost of a prompt token that an upstream has not cached: mostly for the
     * memory that a second copy takes, less for the prefill time.
     */
    double prefix_miss_ms_per_token = 2.0;
    /**
     * Cost of a full memory besides the expected wait, which is 0 until work is
     * queued: decode steps take longer, and a burst soon has to wait.
     */
    double full_memory_cost_ms = 2'000.0;
    /** Added cost of an upstream in another failure domain of the region. */
    milliseconds failure_domain_cost{2};
    /** Added cost of an upstream in another region. */
    milliseconds region_cost{50};
    /** A request is refused if every compared upstream has a longer wait. */
    milliseconds max_wait{20'000};
    bool prefix = true;     ///< prefix affinity; false only in benchmarks
    bool own_counts = true; ///< count own dispatches; false only in benchmarks
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ROUTER_SETTINGS_HPP
